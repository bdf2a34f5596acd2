/** @file chunk_body.h Body of a response that is read piece by piece. */

#ifndef SRC_GATEWAY_CHUNK_BODY_H_
#define SRC_GATEWAY_CHUNK_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace buckthornpath {

/**
 * Body type for a parser whose owner takes the bytes out as they arrive. Unlike
 * the library's string body it reserves no memory for the stated length, which
 * a faulty endpoint may have made up.
 */
struct ChunkBody {
  using value_type = std::string;

  // The library looks for a class of this name.
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
        this->body.append(static_cast<const char*>(buffer.data()),
                          buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body;
  };
};

}  // namespace buckthornpath

#endif  // SRC_GATEWAY_CHUNK_BODY_H_
