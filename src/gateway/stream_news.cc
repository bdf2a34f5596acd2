/** @file stream_news.cc What gateways tell and ask each other about streams. */

#include "gateway/stream_news.h"

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace buckthornpath {

namespace {

using nlohmann::json;

void AppendKey(json& list, const StreamKey& stream) {
  list.push_back(stream.high);
  list.push_back(stream.low);
}

void EncodeKeys(json& value,
                const char* name,
                const std::vector<StreamKey>& streams) {
  for (const StreamKey& stream : streams)
    AppendKey(value[name], stream);
}

/** @param remaining Streams that the datagram may still name. */
std::vector<StreamKey> DecodeKeys(const json& list, std::size_t& remaining) {
  if (list.size() % 2 != 0)
    throw std::invalid_argument("half of a stream's key");
  const std::size_t count = list.size() / 2;
  if (count > remaining)
    throw std::invalid_argument("more than " +
                                std::to_string(StreamNews::kMaxStreams) +
                                " streams in a datagram");
  remaining -= count;
  std::vector<StreamKey> streams;
  streams.reserve(count);
  for (std::size_t i = 0; i < list.size(); i += 2) {
    streams.push_back(
        {list.at(i).get<std::uint64_t>(), list.at(i + 1).get<std::uint64_t>()});
  }
  return streams;
}

std::vector<StreamKey> DecodeKeys(const json& value,
                                  const char* name,
                                  std::size_t& remaining) {
  const auto found = value.find(name);
  return found == value.end() ? std::vector<StreamKey>{}
                              : DecodeKeys(*found, remaining);
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= StreamNews::kMaxNameBytes;
}

void EncodeRecords(json& value,
                   const char* name,
                   const std::vector<StreamRecord>& records) {
  std::map<StreamOrigin, json> by_origin;
  for (const StreamRecord& record : records)
    AppendKey(by_origin[record.origin], record.stream);
  for (auto& [origin, streams] : by_origin) {
    value[name].push_back(
        {origin.service.str(), origin.version, std::move(streams)});
  }
}

/** @param remaining Streams that the datagram may still name. */
std::vector<StreamRecord> DecodeRecords(const json& value,
                                        const char* name,
                                        std::size_t& remaining) {
  std::vector<StreamRecord> records;
  const json groups = value.value(name, json::array());
  for (const json& group : groups) {
    const StreamOrigin origin{ServiceName(group.at(0).get<std::string>()),
                              group.at(1).get<std::string>()};
    const std::vector<StreamKey> streams = DecodeKeys(group.at(2), remaining);
    if (!IsName(origin.service.str()) || !IsName(origin.version))
      continue;
    records.reserve(records.size() + streams.size());
    for (const StreamKey& stream : streams)
      records.push_back({stream, origin});
  }
  return records;
}

}  // namespace

json EncodeStreamNews(const StreamNews& news) {
  json value = json::object();
  EncodeRecords(value, "begun", news.records);
  EncodeRecords(value, "copies", news.copies);
  EncodeKeys(value, "asked", news.questions);
  EncodeKeys(value, "unknown", news.unknown);
  EncodeKeys(value, "contradictory", news.contradictory);
  return value;
}

StreamNews DecodeStreamNews(const json& value) {
  StreamNews news;
  std::size_t remaining = StreamNews::kMaxStreams;
  news.records = DecodeRecords(value, "begun", remaining);
  news.copies = DecodeRecords(value, "copies", remaining);
  news.questions = DecodeKeys(value, "asked", remaining);
  news.unknown = DecodeKeys(value, "unknown", remaining);
  news.contradictory = DecodeKeys(value, "contradictory", remaining);
  return news;
}

}  // namespace buckthornpath
