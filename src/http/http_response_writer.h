#ifndef WISTERIAREEL_SRC_HTTP_HTTP_RESPONSE_WRITER_H_
#define WISTERIAREEL_SRC_HTTP_HTTP_RESPONSE_WRITER_H_

#include <httplib.h>

#include <string>
#include <string_view>

#include "src/http/http_listener.h"
#include "wisteriareel/request_handler.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Writes a response to a caller's connection. An event stream is forwarded
// immediately with chunked transfer encoding. Any other response is buffered
// until it is complete, so that Content-Length can be set and a failure can
// still be reported by its status. Not thread-safe.
class HttpResponseWriter final : public ResponseWriter {
 public:
  // All arguments must outlive the writer.
  HttpResponseWriter(const RequestId* request, HttpExchange* exchange,
                     httplib::Response* response);

  bool WriteHead(int status, std::string_view content_type) override;
  bool WriteData(std::string_view bytes) override;
  bool Finish() override;
  bool CallerDisconnected() const override;

  // Ends the response of a request that ended with `result`. An unfinished
  // stream gets an error event and is then closed without the end marker.
  void Close(const CallResult& result);

  // Returns whether the complete response was written.
  bool finished() const { return finished_; }

 private:
  bool WriteChunk(std::string_view bytes);

  const RequestId& request_;
  HttpExchange* const exchange_;
  httplib::Response* const response_;
  bool head_written_ = false;
  bool streaming_ = false;
  bool finished_ = false;
  bool caller_disconnected_ = false;
  bool end_marker_written_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_HTTP_RESPONSE_WRITER_H_
