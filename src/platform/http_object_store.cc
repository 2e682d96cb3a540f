#include "src/platform/http_object_store.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "src/platform/platform_codec.h"
#include "src/platform/write_outcome.h"

namespace wisteriareel {
namespace {

constexpr char kOctetStream[] = "application/octet-stream";

// Names are sent in hexadecimal, so that any byte is allowed without escaping.
std::string ObjectPath(const std::string& name) {
  return absl::StrCat("/objects?name=", absl::BytesToHexString(name));
}

}  // namespace

HttpObjectStore::HttpObjectStore(PlatformClientOptions options)
    : client_(std::move(options)) {}

CommitOutcome HttpObjectStore::Put(const std::string& name,
                                   const std::string& bytes,
                                   absl::Duration timeout) {
  return CommitOutcomeFromReply(
      client_.Call("PUT", ObjectPath(name), bytes, kOctetStream, timeout));
}

std::optional<std::string> HttpObjectStore::Get(const std::string& name,
                                                absl::Duration timeout,
                                                LastReason* reason) {
  PlatformReply reply = client_.Call("GET", ObjectPath(name), "", "", timeout);
  if (reply.reason != Reason::kNone) {
    reason->Set(reply.reason,
                absl::StrCat("object store request failed: ", name));
    return std::nullopt;
  }
  return std::move(reply.body);
}

std::optional<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix, const std::string& after, int limit,
    absl::Duration timeout, LastReason* reason) {
  const std::string path =
      absl::StrCat("/objects/list?prefix=", absl::BytesToHexString(prefix),
                   "&after=", absl::BytesToHexString(after), "&limit=", limit);
  const PlatformReply reply = client_.Call("GET", path, "", "", timeout);
  if (reply.reason != Reason::kNone) {
    reason->Set(reply.reason, "object list request failed");
    return std::nullopt;
  }
  std::optional<std::vector<std::string>> names = DecodeNames(reply.body);
  if (!names) {
    reason->Set(Reason::kPlatformUnavailable,
                "object list: invalid response body");
  }
  return names;
}

}  // namespace wisteriareel
