/** @file feed_record.cc Records of the published items that hubs hand on. */

#include "gateway/feed_record.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "kernel/cbor.h"

namespace buckthornpath {

namespace {

namespace zlib = boost::beast::zlib;
using nlohmann::json;

/** Smaller values are not compressed. */
constexpr std::size_t kMinCompressedBytes = 2048;

/** Compression level; higher ones take longer than the link does. */
constexpr int kCompressionLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

/** Limit of a frame and of a value; the store's values are smaller. */
constexpr std::size_t kMaxFrameBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t kMaxValueBytes = std::size_t{16} * 1024 * 1024;

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

/** @return The deflated value; empty if that is not smaller. */
std::string Compress(const std::string& value) {
  std::string compressed(value.size(), '\0');
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
               zlib::Strategy::normal);
  zlib::z_params state;
  state.next_in = value.data();
  state.avail_in = value.size();
  state.next_out = compressed.data();
  state.avail_out = compressed.size();
  boost::system::error_code error;
  stream.write(state, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream)
    return "";
  compressed.resize(state.total_out);
  return compressed;
}

std::string Decompress(const json::binary_t& compressed, std::size_t size) {
  if (size > kMaxValueBytes)
    throw MalformedFeed("value of " + std::to_string(size) +
                        " bytes is larger than " +
                        std::to_string(kMaxValueBytes));
  std::string value(size, '\0');
  zlib::inflate_stream stream;
  zlib::z_params state;
  state.next_in = compressed.data();
  state.avail_in = compressed.size();
  state.next_out = value.data();
  state.avail_out = value.size();
  boost::system::error_code error;
  stream.write(state, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream || state.total_out != size)
    throw MalformedFeed("compressed value is damaged");
  return value;
}

json EncodeItem(const PublishedItem& item) {
  std::size_t full_size = 0;
  std::string bytes;
  if (item.value.size() >= kMinCompressedBytes)
    bytes = Compress(item.value);
  if (bytes.empty())
    bytes = item.value;
  else
    full_size = item.value.size();
  return {item.key,
          json::binary({bytes.begin(), bytes.end()}),
          item.revision.number,
          item.removed,
          full_size,
          item.revision.era};
}

PublishedItem DecodeItem(const json& value) {
  PublishedItem item;
  item.key = value.at(0).get<std::string>();
  const json::binary_t& bytes = value.at(1).get_binary();
  item.revision.number = value.at(2).get<std::uint64_t>();
  item.removed = value.at(3).get<bool>();
  const auto full_size = value.at(4).get<std::size_t>();
  // Older gateways know no eras.
  if (value.size() > 5)
    item.revision.era = value.at(5).get<std::uint64_t>();
  item.value = full_size > 0 ? Decompress(bytes, full_size)
                             : std::string(bytes.begin(), bytes.end());
  return item;
}

FeedRecord DecodeRecord(std::string_view bytes) {
  FeedRecord record;
  const json value = ParseCbor(bytes);
  record.is_fresh = value.at("fresh").get<bool>();
  record.is_snapshot = value.at("snapshot").get<bool>();
  record.position.process = value.at("process").get<std::uint64_t>();
  record.position.change_count = value.at("changes").get<std::uint64_t>();
  if (const auto age = value.find("age_ms"); age != value.end())
    record.age = std::chrono::milliseconds(age->get<std::int64_t>());
  record.items.revision = {value.value("era", std::uint64_t{0}),
                           value.at("revision").get<std::uint64_t>()};
  for (const json& item : value.at("items"))
    record.items.items.push_back(DecodeItem(item));
  return record;
}

}  // namespace

std::string EncodeFeedFrame(const FeedRecord& record) {
  json items = json::array();
  for (const PublishedItem& item : record.items.items)
    items.push_back(EncodeItem(item));
  json value = {{"fresh", record.is_fresh},
                {"snapshot", record.is_snapshot},
                {"process", record.position.process},
                {"changes", record.position.change_count},
                {"era", record.items.revision.era},
                {"revision", record.items.revision.number},
                {"items", std::move(items)}};
  if (record.age)
    value["age_ms"] = record.age->count();
  std::string frame(kLengthBytes, '\0');
  json::to_cbor(value, frame);
  boost::endian::endian_store<std::uint32_t, kLengthBytes,
                              boost::endian::order::big>(
      reinterpret_cast<unsigned char*>(frame.data()),
      static_cast<std::uint32_t>(frame.size() - kLengthBytes));
  return frame;
}

std::optional<FeedRecord> FeedFrameReader::Next() {
  if (this->buffer.size() < kLengthBytes)
    return std::nullopt;
  const std::size_t size =
      boost::endian::endian_load<std::uint32_t, kLengthBytes,
                                 boost::endian::order::big>(
          reinterpret_cast<const unsigned char*>(this->buffer.data()));
  if (size > kMaxFrameBytes)
    throw MalformedFeed("frame of " + std::to_string(size) +
                        " bytes is larger than " +
                        std::to_string(kMaxFrameBytes));
  if (this->buffer.size() < kLengthBytes + size)
    return std::nullopt;
  std::optional<FeedRecord> record;
  try {
    record =
        DecodeRecord(std::string_view(this->buffer).substr(kLengthBytes, size));
  } catch (const json::exception& error) {
    throw MalformedFeed(error.what());
  }
  this->buffer.erase(0, kLengthBytes + size);
  return record;
}

}  // namespace buckthornpath
