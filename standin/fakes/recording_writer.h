#ifndef WISTERIAREEL_STANDIN_FAKES_RECORDING_WRITER_H_
#define WISTERIAREEL_STANDIN_FAKES_RECORDING_WRITER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriareel/request_handler.h"

namespace wisteriareel {

// Records the response to a caller. Not thread-safe.
class RecordingWriter final : public ResponseWriter {
 public:
  // The caller disconnects once it has received `bytes` bytes.
  void DisconnectAfter(std::size_t bytes) { leave_after_ = bytes; }

  bool WriteHead(int status, std::string_view /*content_type*/) override {
    if (CallerDisconnected()) return false;
    status_ = status;
    return true;
  }
  bool WriteData(std::string_view bytes) override {
    if (CallerDisconnected()) return false;
    body_.append(bytes);
    return true;
  }
  bool Finish() override {
    if (CallerDisconnected()) return false;
    whole_ = true;
    return true;
  }
  bool CallerDisconnected() const override {
    return body_.size() >= leave_after_;
  }

  int status() const { return status_; }
  const std::string& body() const { return body_; }
  bool complete() const { return whole_; }

 private:
  std::size_t leave_after_ = std::string::npos;
  int status_ = 0;
  std::string body_;
  bool whole_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_RECORDING_WRITER_H_
