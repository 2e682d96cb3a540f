#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "platform/load_client.h"
#include "platform/manifest_codec.h"
#include "platform/message_codec.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"
#include "rapidcheck/gtest.h"
#include "src/forward/event_splitter.h"
#include "src/router/quarantine_sync.h"

namespace wisteriareel::platform {
namespace {

// Returns `text` with a few bytes replaced, removed or repeated, and pieces of
// syntax inserted.
std::string Mutate(std::string text) {
  const auto pieces = rc::gen::element<std::string>(
      "[", "{", "]", "}", "\"", ",", ":", "null", "-1", "1e999", "\\u0000",
      "99999999999999999999", "\xff", "\n\n", "\r\n", ";", ".", "id:");
  const int count = *rc::gen::inRange(0, 6);
  for (int n = 0; n < count; ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto size = *rc::gen::inRange<std::size_t>(0, 12);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text.erase(at, size);
        break;
      case 1:
        text.insert(at, *pieces);
        break;
      default:
        text.insert(at, text.substr(at, size));
        break;
    }
  }
  return text;
}

RC_GTEST_PROP(TargetCodecPropertyTest, AnEntryIsRejectedOrUsable, ()) {
  const auto entry = DecodeTarget(
      "i-1", Mutate(R"({"service":"s","address":"10.0.0.9:8080","zone":"a",)"
                    R"("slots":64,"state":"ready","cold_remaining_ms":250,)"
                    R"("born":1700000000000,"version":1})"));
  if (!entry.has_value()) return;
  RC_ASSERT(entry->slots >= 1);
  RC_ASSERT(entry->address.port != 0);
  RC_ASSERT(entry->warm_up >= absl::ZeroDuration());
  RC_ASSERT(entry->warm_up < absl::InfiniteDuration());
  RC_ASSERT(entry->started_ms >= 0);
}

RC_GTEST_PROP(LoadCodecPropertyTest, AReportIsRejectedOrInRange, ()) {
  const auto load =
      DecodeLoad(Mutate(R"({"queued":2,"running":3,"kv_used":41000,)"
                        R"("kv_total":90000,"runs":[["a",100,0,5],"x"]})"));
  if (!load.has_value()) return;
  RC_ASSERT(load->queued >= 0);
  RC_ASSERT(load->running >= 0);
  RC_ASSERT(load->prefilling >= 0);
  RC_ASSERT(load->cache_used >= Tokens(0));
  RC_ASSERT(load->cache_total >= Tokens(0));
}

RC_GTEST_PROP(MessageCodecPropertyTest, ALimitIsMalformedOrInRange, ()) {
  ResponseHead head;
  head.result(200);
  head.set("Server-Limit", Mutate("12.5"));
  const ResponseInfo info = MessageCodec().DecodeResponse(head);
  RC_ASSERT(info.rate_limit.has_value() != info.has_malformed_rate_limit);
  if (!info.rate_limit.has_value()) return;
  RC_ASSERT(std::isfinite(*info.rate_limit));
  RC_ASSERT(*info.rate_limit >= 0);
}

RC_GTEST_PROP(StoreCodecPropertyTest, NoReplyIsFatal, ()) {
  const std::string text = Mutate(
      R"({"ver":9,"now_ms":5,"more_pages":false,"rows":[{"table":"t",)"
      R"("part":"","key":"k","value":"eA==","ver":5},{"key":"j","ver":6}]})");
  DecodeRows(text, 0);
  DecodeCommit(200, text, 0);
  DecodeCommit(412, text, 0);
}

RC_GTEST_PROP(ManifestCodecPropertyTest, NoManifestIsFatal, ()) {
  LastReason reason;
  DecodeManifest(
      Mutate(R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
             R"("kind":"streaming","service":"s","timeout_ms":8000,)"
             R"("attempts":2}],"services":[{"name":"s","engine":{"slots":64,)"
             R"("kv_capacity":447736,"stride":5}}],"tenants":[{"name":"c",)"
             R"("api_keys":["k"],"prepaid":6114644}]})"),
      &reason);
}

RC_GTEST_PROP(PromptEvidenceCodecPropertyTest, WhatIsDecodedIsBounded, ()) {
  const absl::Time epoch = absl::UnixEpoch();
  const std::string text = Mutate("b,1,2,3,4.5;w,6,7,-8,9;p,a,100;");
  const PromptEvidence evidence = DecodePromptEvidence(text, epoch);
  RC_ASSERT(evidence.crashes.size() + evidence.proofs.size() <= text.size());
  RC_ASSERT(DecodePromptEvidence(EncodePromptEvidence(evidence, epoch, 10000),
                                 epoch) == evidence);
}

RC_GTEST_PROP(EventSplitterPropertyTest, EventsDoNotDependOnPackets, ()) {
  const std::string text =
      Mutate("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\nid: 3\n");
  const auto split = [](const std::string& bytes, std::size_t packet) {
    EventSplitter splitter;
    std::string all;
    for (std::size_t at = 0; at < bytes.size(); at += packet) {
      for (const StreamEvent& event : splitter.Add(bytes.substr(at, packet))) {
        all += event.bytes + "|";
      }
    }
    return all;
  };
  RC_ASSERT(split(text, *rc::gen::inRange<std::size_t>(1, 9)) ==
            split(text, std::max<std::size_t>(1, text.size())));
}

}  // namespace
}  // namespace wisteriareel::platform
