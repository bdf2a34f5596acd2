/** @file order_book.h Orders that a fake model engine takes. */

#ifndef TEST_FAKES_ORDER_BOOK_H_
#define TEST_FAKES_ORDER_BOOK_H_

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/fake_program.h"

namespace buckthornpath {

/** Accepts or refuses orders, checking fencing numbers or ignoring them. */
class OrderBook {
 public:
  OrderBook(bool checks_fencing, HistoryFile& history)
      : checks_fencing(checks_fencing), history(history) {}

  /** Answers `POST /v1/orders`. */
  HttpResponse TakeOrder(const HttpRequest& request);

  /** Answers `GET /v1/state`. */
  HttpResponse State();

 private:
  bool checks_fencing;
  HistoryFile& history;
  std::mutex mutex;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint64_t highest = 0;
  bool met = false;  ///< An order has come; whether it checks is told.
};

}  // namespace buckthornpath

#endif  // TEST_FAKES_ORDER_BOOK_H_
