#include "test/soak/soak_checker.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace wisteriareel::soak {
namespace {

using ::testing::AllOf;
using ::testing::ElementsAre;
using ::testing::Field;
using ::testing::IsEmpty;
using ::testing::SizeIs;

class SoakCheckerTest : public ::testing::Test {
 protected:
  static absl::Time At(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(100 + seconds);
  }

  // Returns a stream of instance 0 that was answered.
  static CallerRecord Answered(const std::string& id, double sent,
                               double ended) {
    return {.id = id,
            .kind = RequestKind::kStream,
            .events = 3,
            .time_limit = absl::Seconds(10),
            .began = At(sent),
            .sent = At(sent),
            .ended = At(ended),
            .status = 200,
            .seal = ResponseSeal(id),
            .body = ResponseBody(id, 3)};
  }
  // Returns a stream that was cut off after its first event.
  static CallerRecord CutOff(const std::string& id, double sent, double ended) {
    CallerRecord request = Answered(id, sent, ended);
    request.end = ResponseEnd::kClosed;
    request.body = ResponseEvent(id, 1);
    return request;
  }
  static CallerRecord Refused(const std::string& id, int status) {
    CallerRecord request = Answered(id, 0, 1);
    request.status = status;
    request.seal = "";
    request.body = "";
    return request;
  }
  void AddRun(const std::string& id, double began, double ended) {
    history_.runs.push_back({.request = id,
                             .target = "t-1",
                             .began = At(began),
                             .ended = At(ended)});
  }
  void Terminate(int instance, double at) {
    history_.signals.push_back({.instance = instance, .at = At(at)});
  }
  std::vector<Violation> Check() const {
    return SoakChecker(CheckerOptions()).Check(history_);
  }
  static auto Breaks(Promise promise, const std::string& subject) {
    return ElementsAre(AllOf(Field(&Violation::promise, promise),
                             Field(&Violation::subject, subject)));
  }

  SoakHistory history_;
};

TEST_F(SoakCheckerTest, AnsweredRequestsBreakNothing) {
  history_.requests = {Answered("q", 0, 2), Refused("r", 503)};
  AddRun("q", 0, 2);
  Terminate(0, 1);
  EXPECT_THAT(Check(), IsEmpty());
}

TEST_F(SoakCheckerTest, AStreamCutOffAroundAStopIsLost) {
  history_.requests = {CutOff("q", 3.2, 7.65)};
  AddRun("q", 3.2, 7.7);
  Terminate(0, 0);
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "q"));
}

TEST_F(SoakCheckerTest, ARequestWithoutAnyResponseIsLost) {
  CallerRecord request = CutOff("q", 1, 4);
  request.status = 0;
  request.seal = "";
  request.body = "";
  history_.requests = {request};
  Terminate(0, 0);
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "q"));
}

TEST_F(SoakCheckerTest, ARequestCutOffAfterAReloadIsLost) {
  history_.requests = {CutOff("q", 0.5, 1)};
  AddRun("q", 0.5, 1);
  history_.signals = {
      {.instance = 0, .kind = SignalKind::kReload, .at = At(0)}};
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "q"));
}

TEST_F(SoakCheckerTest, WorkAtTheEndOfTheGraceExcusesRequestsSentEarly) {
  history_.requests = {CutOff("early", 3, 7.65), CutOff("late", 3.1, 7.65)};
  AddRun("early", 3, 7.65);
  AddRun("late", 3.1, 7.65);
  Terminate(0, 0);
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "late"));
}

TEST_F(SoakCheckerTest, WorkThatEndedBeforeTheEndOfTheGraceDoesNotExcuse) {
  history_.requests = {CutOff("q", -1, 8)};
  AddRun("q", -1, 6.6);
  Terminate(0, 0);
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "q"));
}

TEST_F(SoakCheckerTest, ATargetThatBreaksOffExcuses) {
  history_.requests = {CutOff("q", 1, 2)};
  AddRun("q", 1, 2);
  history_.runs[0].broke_off = true;
  Terminate(0, 0);
  EXPECT_THAT(Check(), IsEmpty());
}

TEST_F(SoakCheckerTest, TheTimeLimitExcuses) {
  history_.requests = {CutOff("q", -4, 6)};
  AddRun("q", -4, 6);
  Terminate(0, 0);
  EXPECT_THAT(Check(), IsEmpty());
}

TEST_F(SoakCheckerTest, ARequestThatCrossesTheCloseIsNotLost) {
  CallerRecord crossed = CutOff("q", 1, 1.1);
  crossed.status = 0;
  crossed.seal = "";
  crossed.body = "";
  CallerRecord unread = crossed;
  unread.end = ResponseEnd::kReset;
  unread.ended = At(4);
  history_.requests = {crossed, unread};
  Terminate(0, 0);
  EXPECT_THAT(Check(), IsEmpty());
}

TEST_F(SoakCheckerTest, AKillExcusesLossesAtItsInstanceOnly) {
  history_.requests = {CutOff("q", 1, 2), CutOff("r", 1, 2)};
  history_.requests[1].instance = 1;
  AddRun("q", 1, 2);
  AddRun("r", 1, 2);
  Terminate(0, 0);
  Terminate(1, 0);
  history_.disturbances = {{.instance = 0, .from = At(2), .to = At(3)}};
  EXPECT_THAT(Check(), Breaks(Promise::kNothingLost, "r"));
}

TEST_F(SoakCheckerTest, FewLossesAtOtherTimesAreAllowed) {
  for (const char* id : {"a", "b", "c"}) {
    history_.requests.push_back(CutOff(id, 0, 1));
    AddRun(id, 0, 1);
  }
  EXPECT_THAT(Check(), IsEmpty());
  history_.requests.push_back(CutOff("d", 0, 1));
  AddRun("d", 0, 1);
  EXPECT_THAT(Check(), SizeIs(4));
}

TEST_F(SoakCheckerTest, AResponseWithoutItsLastEventIsNotWhole) {
  history_.requests = {Answered("q", 0, 1)};
  history_.requests[0].body = ResponseBody("q", 2);
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, AnEventThatComesTwiceIsNotWhole) {
  history_.requests = {Answered("q", 0, 1)};
  history_.requests[0].body += ResponseEvent("q", 3);
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, TheResponseToAnotherRequestIsForeign) {
  history_.requests = {Answered("q", 0, 1)};
  history_.requests[0].body = ResponseBody("r", 3);
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, ThePartOfACutOffResponseMustBeItsOwn) {
  history_.requests = {CutOff("q", 0, 1)};
  history_.requests[0].body = ResponseEvent("q", 2);
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, ASuccessNeedsItsSeal) {
  history_.requests = {Answered("q", 0, 1)};
  history_.requests[0].seal = "";
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, AMalformedResponseIsReported) {
  history_.requests = {Refused("q", 0)};
  history_.requests[0].end = ResponseEnd::kMalformed;
  EXPECT_THAT(Check(), Breaks(Promise::kWholeAndOwn, "q"));
}

TEST_F(SoakCheckerTest, OnlyResumableStreamsMayRunTwice) {
  history_.requests = {Answered("q", 0, 2), Answered("r", 0, 2)};
  history_.requests[1].kind = RequestKind::kResumableStream;
  for (const char* id : {"q", "r"}) {
    AddRun(id, 0, 1);
    AddRun(id, 1, 2);
  }
  EXPECT_THAT(Check(), Breaks(Promise::kAtMostOnce, "q"));
}

TEST_F(SoakCheckerTest, ARefusedRequestHasNotRun) {
  history_.requests = {Refused("q", 503)};
  AddRun("q", 2, 3);
  EXPECT_THAT(Check(), Breaks(Promise::kNotRunIsTrue, "q"));
}

TEST_F(SoakCheckerTest, AVerdictBindsForResumableStreamsToo) {
  history_.requests = {Refused("q", 503), Refused("r", 503)};
  for (CallerRecord& request : history_.requests) {
    request.kind = RequestKind::kResumableStream;
    AddRun(request.id, 0, 1);
  }
  history_.requests[0].body = R"({"verdict":"not_run"})";
  history_.requests[1].body = R"({"verdict":"may_have_run"})";
  EXPECT_THAT(Check(), Breaks(Promise::kNotRunIsTrue, "q"));
}

TEST_F(SoakCheckerTest, AProcessThatEndsByItselfIsReported) {
  history_.exits = {{.instance = 2, .at = At(1)}};
  EXPECT_THAT(Check(), Breaks(Promise::kKeepsRunning, "instance 2"));
}

}  // namespace
}  // namespace wisteriareel::soak
