/** @file stream_news.h What gateways tell and ask each other about streams. */

#ifndef SRC_GATEWAY_STREAM_NEWS_H_
#define SRC_GATEWAY_STREAM_NEWS_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "buckthornpath/stream_origins.h"

namespace buckthornpath {

/** Part of a datagram between gateways. */
struct StreamNews {
  /** Limit of the streams that are named in one datagram. */
  static constexpr std::size_t kMaxStreams = 64;

  /** Limit of the names of services and versions, in bytes. */
  static constexpr std::size_t kMaxNameBytes = 200;

  std::vector<StreamRecord> records;  ///< Announcements and answers.
  std::vector<StreamRecord> copies;   ///< For gateways that are no witnesses.
  std::vector<StreamKey> questions;   ///< The receiver is to answer.
  std::vector<StreamKey> unknown;     ///< Answer: no record.
  std::vector<StreamKey> contradictory;  ///< Answer: records that differ.

  std::size_t Count() const {
    return this->records.size() + this->copies.size() + this->questions.size() +
           this->unknown.size() + this->contradictory.size();
  }
};

/** @return A CBOR map with the streams by what began them. */
nlohmann::json EncodeStreamNews(const StreamNews& news);

/**
 * Decodes news. Records without a service or version, or with one that is too
 * long, are left out.
 * @throws nlohmann::json::exception If a value is not of its type.
 * @throws std::invalid_argument If there are too many streams.
 */
StreamNews DecodeStreamNews(const nlohmann::json& value);

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_STREAM_NEWS_H_
