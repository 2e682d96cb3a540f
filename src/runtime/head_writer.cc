#include "src/runtime/head_writer.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "boost/beast/http/status.hpp"

namespace wisteriareel {
namespace {

absl::string_view View(boost::string_view text) {
  return {text.data(), text.size()};
}

template <typename Fields>
void AppendFields(const Fields& fields, const Framing& framing,
                  std::string* out) {
  for (const auto& field : fields) {
    absl::StrAppend(out, View(field.name_string()), ": ", View(field.value()),
                    "\r\n");
  }
  if (framing.close) absl::StrAppend(out, "Connection: close\r\n");
  if (!framing.no_body) {
    if (framing.length.has_value()) {
      absl::StrAppend(out, "Content-Length: ", *framing.length, "\r\n");
    } else {
      absl::StrAppend(out, "Transfer-Encoding: chunked\r\n");
    }
  }
  absl::StrAppend(out, "\r\n");
}

}  // namespace

std::string WriteHead(const RequestHead& head, const Framing& framing) {
  std::string out = absl::StrCat(View(head.method_string()), " ",
                                 View(head.target()), " HTTP/1.1\r\n");
  AppendFields(head, framing, &out);
  return out;
}

std::string WriteHead(const ResponseHead& head, const Framing& framing) {
  boost::string_view phrase = head.reason();
  if (phrase.empty()) {
    phrase = boost::beast::http::obsolete_reason(head.result());
  }
  std::string out =
      absl::StrCat("HTTP/1.1 ", head.result_int(), " ", View(phrase), "\r\n");
  AppendFields(head, framing, &out);
  return out;
}

std::string EncodeChunk(std::string_view bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n",
                      absl::string_view(bytes.data(), bytes.size()), "\r\n");
}

}  // namespace wisteriareel
