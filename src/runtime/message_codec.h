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

// Converts message heads between the wire format and the types of src/forward.
// Implementations make no routing decisions and are thread-safe.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // Parses a caller's request. Returns nullopt with kMalformed if a header is
  // malformed.
  virtual std::optional<RequestInfo> DecodeRequest(
      const RequestHead& head, LastReason* reason) const = 0;

  // Returns the head of the request for a target, without framing headers.
  virtual RequestHead EncodeRequest(const RequestHead& from_caller,
                                    const RequestInfo& info,
                                    const AttemptOptions& options) const = 0;

  virtual ResponseInfo DecodeResponse(const ResponseHead& head) const = 0;

  // Returns false if the response belongs to a request other than `id`.
  virtual bool IsResponseTo(const ResponseHead& head,
                            const RequestId& id) const = 0;

  // Returns true if the response states the id of its request.
  virtual bool StatesRequestId(const ResponseHead& head) const = 0;

  // Returns the head of the response for the caller, without framing headers.
  virtual ResponseHead EncodeResponse(
      const ResponseHead& from_target) const = 0;

  // Returns the head of a response that the router itself makes, without
  // framing headers.
  virtual ResponseHead EncodeRefusal(const Refusal& refusal,
                                     const RequestId& id) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_MESSAGE_CODEC_H_
