#ifndef WISTERIAREEL_SRC_RUNTIME_MESSAGE_CODEC_H_
#define WISTERIAREEL_SRC_RUNTIME_MESSAGE_CODEC_H_

#include <optional>

#include "boost/beast/http/message.hpp"
#include "src/forward/exchange.h"
#include "src/forward/request_info.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

// Translates heads of messages between the wire and the types of the request
// core. Implementations decide nothing and are thread-safe.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // Reads a caller's request. Returns nullopt with kMalformed if what it
  // states can't be read.
  virtual std::optional<RequestInfo> DecodeRequest(
      const RequestHead& head, LastReason* reason) const = 0;

  // Returns the head for a target, without framing.
  virtual RequestHead EncodeRequest(const RequestHead& from_caller,
                                    const RequestInfo& facts,
                                    const AttemptOptions& options) const = 0;

  virtual ResponseInfo DecodeResponse(const ResponseHead& head) const = 0;

  // Returns false if the answer belongs to another request than `id`.
  virtual bool IsResponseTo(const ResponseHead& head,
                            const RequestId& id) const = 0;

  // Returns the head for the caller, without framing.
  virtual ResponseHead EncodeResponse(
      const ResponseHead& from_target) const = 0;

  // Returns the head of an answer of the router's own, without framing.
  virtual ResponseHead EncodeRefusal(const Refusal& refusal,
                                     const RequestId& id) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_MESSAGE_CODEC_H_
