/** @file shared_body.h Body of a request that is read once and sent again. */

#ifndef SRC_GATEWAY_SHARED_BODY_H_
#define SRC_GATEWAY_SHARED_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "gateway/byte_budget.h"

namespace buckthornpath {

/**
 * Bytes of a body that copies of this object share. They are taken from a
 * budget by capacity, and returned to it when the last copy is destroyed.
 */
class SharedBytes {
 public:
  SharedBytes() = default;  ///< No bytes, and none can be added.
  explicit SharedBytes(ByteBudget& budget)
      : held(std::make_shared<Held>(budget)) {}

  std::size_t Size() const { return this->held ? this->held->text.size() : 0; }

  const std::string& Text() const {
    static const std::string kEmpty;
    return this->held ? this->held->text : kEmpty;
  }

  /**
   * Makes room for more bytes, so that Append() does not allocate.
   * @param most Size that the body can't exceed.
   * @return False if the budget has too few bytes left.
   */
  bool TryReserve(std::size_t more, std::size_t most);

  void Append(const char* data, std::size_t size) {
    this->held->text.append(data, size);
  }

  /** @return Bytes taken from the budget. */
  std::size_t Reserved() const {
    return this->held ? this->held->share.Taken() : 0;
  }

 private:
  struct Held {
    explicit Held(ByteBudget& budget) : share(budget) {}
    ByteShare share;
    std::string text;
  };

  std::shared_ptr<Held> held;
};

inline bool SharedBytes::TryReserve(std::size_t more, std::size_t most) {
  std::string& text = this->held->text;
  const std::size_t wanted = text.size() + more;
  if (wanted <= text.capacity())
    return true;
  // Growth by half keeps the number of copies small.
  const std::size_t grown =
      std::max(wanted, std::min(most, text.capacity() / 2 * 3));
  if (!this->held->share.TryTake(grown - this->held->share.Taken()))
    return false;
  // The library may double the capacity of a string that has some.
  std::string larger;
  larger.reserve(grown);
  larger.append(text);
  text.swap(larger);
  return true;
}

/** Body type for a parser and for a serializer; reserves nothing by itself. */
struct SharedBody {
  using value_type = SharedBytes;

  static std::uint64_t size(const value_type& body) { return body.Size(); }

  // The library looks for classes of these names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
           value_type& body)
        : body(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer = *it;
        this->body.Append(static_cast<const char*>(buffer.data()),
                          buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body;
  };

  // NOLINTNEXTLINE(readability-identifier-naming)
  class writer {
   public:
    // NOLINTNEXTLINE(readability-identifier-naming)
    using const_buffers_type = boost::asio::const_buffer;

    template <bool IsRequest, class Fields>
    writer(const boost::beast::http::header<IsRequest, Fields>& /*header*/,
           const value_type& body)
        : body(body) {}

    void init(boost::system::error_code& error) { error = {}; }

    boost::optional<std::pair<const_buffers_type, bool>> get(
        boost::system::error_code& error) {
      error = {};
      return {{boost::asio::buffer(this->body.Text()), false}};
    }

   private:
    const value_type& body;
  };
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_SHARED_BODY_H_
