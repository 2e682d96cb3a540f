#ifndef WISTERIAREEL_SRC_RUNTIME_RECEIVED_BODY_H_
#define WISTERIAREEL_SRC_RUNTIME_RECEIVED_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boost/asio/buffer.hpp"
#include "boost/beast/http/message.hpp"
#include "boost/optional.hpp"
#include "boost/system/error_code.hpp"

namespace wisteriareel {

// A body that is being received. Grows by pieces, so that it takes the memory
// of what has arrived, also where its length was stated. Not thread-safe.
class ReceivedBody {
 public:
  void Append(std::string_view bytes);

  // Frees what has arrived, and keeps nothing of what follows.
  void Discard();

  // Bytes of memory in use.
  std::size_t memory_bytes() const { return memory_bytes_; }
  // Bytes that have arrived, discarded ones included.
  std::size_t size() const { return size_; }

  // Returns the body in one piece and frees the others one by one.
  std::string Take();

 private:
  std::vector<std::string> pieces_;
  bool discarded_ = false;
  std::size_t size_ = 0;
  std::size_t memory_bytes_ = 0;
};

// Body type of the HTTP parser, see ReceivedBody.
struct ReceivedBodyType {
  using value_type = ReceivedBody;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class Reader {
   public:
    template <bool kIsRequest, class Fields>
    Reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& ec) {
      ec = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t n = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer bytes(*it);
        body_.Append({static_cast<const char*>(bytes.data()), bytes.size()});
        n += bytes.size();
      }
      return n;
    }

    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
  // The name by which the parser finds it.
  using reader = Reader;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_RECEIVED_BODY_H_
