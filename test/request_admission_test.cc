#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/request/admission_controller.h"
#include "src/request/admission_queue.h"

namespace wisteriareel {
namespace {

constexpr int kCapacity = 10;
const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

AdmissionRequest Request(Priority priority, const std::string& customer,
                         std::uint32_t weight = 1) {
  return {.pool = PoolId("p"),
          .customer = CustomerId(customer),
          .weight = weight,
          .priority = priority,
          .capacity = kCapacity};
}

class AdmissionQueueTest : public testing::Test {
 protected:
  // Fills the capacity with requests of one class and returns them.
  std::vector<AdmissionRequest> Saturate() {
    std::vector<AdmissionRequest> in_flight;
    for (int i = 0; i < kCapacity; ++i) {
      const AdmissionRequest request = Request(Priority::kInteractive, "x");
      EXPECT_EQ(queue_.OfferRequest(request, kNow).kind,
                AdmissionDecision::Kind::kAdmitted);
      in_flight.push_back(request);
    }
    return in_flight;
  }

  // Releases one slot after another and returns the customers in the order of
  // their admission.
  std::vector<std::string> ReleaseInTurn(
      std::vector<AdmissionRequest> in_flight, int releases,
      const std::map<AdmissionTicket, AdmissionRequest>& waiting) {
    std::vector<std::string> order;
    for (int i = 0; i < releases; ++i) {
      queue_.ReleaseSlot(in_flight[i], absl::Milliseconds(10));
      const auto ticket = queue_.AdmitNext(kNow);
      if (!ticket) continue;
      in_flight.push_back(waiting.at(*ticket));
      order.push_back(waiting.at(*ticket).customer.value());
    }
    return order;
  }

  std::map<AdmissionTicket, AdmissionRequest> QueueRequests(
      const std::vector<AdmissionRequest>& requests) {
    std::map<AdmissionTicket, AdmissionRequest> waiting;
    for (const AdmissionRequest& request : requests) {
      const AdmissionDecision decision = queue_.OfferRequest(request, kNow);
      EXPECT_EQ(decision.kind, AdmissionDecision::Kind::kQueued);
      waiting[decision.ticket] = request;
    }
    return waiting;
  }

  AdmissionQueue queue_{AdmissionQueueOptions{}};
};

TEST_F(AdmissionQueueTest, AdmitsCustomersInProportionToTheirWeights) {
  std::vector<AdmissionRequest> requests(40,
                                         Request(Priority::kNormal, "light"));
  requests.resize(80, Request(Priority::kNormal, "heavy", 3));
  const auto in_flight = Saturate();
  const auto order = ReleaseInTurn(in_flight, 41, QueueRequests(requests));
  ASSERT_EQ(order.size(), 40u);
  EXPECT_NEAR(std::count(order.begin(), order.end(), "heavy"), 30, 1);
}

TEST_F(AdmissionQueueTest, AdmitsBatchRequestsUnderInteractiveOverload) {
  std::vector<AdmissionRequest> requests(
      100, Request(Priority::kInteractive, "short"));
  requests.resize(110, Request(Priority::kBatch, "long"));
  const auto in_flight = Saturate();
  const auto order = ReleaseInTurn(in_flight, 86, QueueRequests(requests));
  const auto admitted = std::count(order.begin(), order.end(), "long");
  EXPECT_GE(admitted, 4) << "of 85 admissions";
  EXPECT_LE(admitted, 6) << "of 85 admissions";
}

TEST_F(AdmissionQueueTest,
       ReservesCapacityForInteractiveRequestsUnderBatchOverload) {
  for (int i = 0; i < 100; ++i) {
    queue_.OfferRequest(Request(Priority::kBatch, "long"), kNow);
  }
  EXPECT_EQ(queue_.in_flight(), 8);
  EXPECT_EQ(
      queue_.OfferRequest(Request(Priority::kInteractive, "short"), kNow).kind,
      AdmissionDecision::Kind::kAdmitted);
}

TEST_F(AdmissionQueueTest, ReportsTheExceededLimit) {
  Saturate();
  AdmissionDecision decision;
  const auto offer_until_refused = [&](const std::string& customer) {
    do {
      decision =
          queue_.OfferRequest(Request(Priority::kInteractive, customer), kNow);
    } while (decision.kind != AdmissionDecision::Kind::kRefused);
    return decision.reason;
  };
  EXPECT_EQ(offer_until_refused("a"), Reason::kCustomerShareExceeded);
  EXPECT_EQ(offer_until_refused("b"), Reason::kQueueFull);
  EXPECT_GT(decision.retry_after, absl::ZeroDuration());
}

TEST_F(AdmissionQueueTest, RefusesRequestsThatWouldMissTheirDeadline) {
  std::vector<AdmissionRequest> in_flight = Saturate();
  queue_.ReleaseSlot(in_flight.back(), absl::Seconds(5));
  queue_.OfferRequest(in_flight.back(), kNow);
  AdmissionRequest request = Request(Priority::kInteractive, "a");
  request.deadline = kNow + absl::Milliseconds(400);
  const AdmissionDecision decision = queue_.OfferRequest(request, kNow);
  EXPECT_EQ(decision.reason, Reason::kShedOverload);
  request.deadline = kNow + absl::Milliseconds(600);
  EXPECT_EQ(queue_.OfferRequest(request, kNow).kind,
            AdmissionDecision::Kind::kQueued);
}

// For any sequence of offers, releases and removals: the limits hold, no
// request is admitted twice, and no capacity is left unused that a waiting
// request may use.
RC_GTEST_PROP(AdmissionQueuePropertyTest, StaysWithinItsLimits, ()) {
  const AdmissionQueueOptions options{.max_queued = {8, 8, 8},
                                      .capacity_share = {1.0, 0.9, 0.8}};
  AdmissionQueue queue(options);
  std::vector<AdmissionRequest> in_flight;
  std::map<AdmissionTicket, AdmissionRequest> waiting;
  const auto ops =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
  for (const int op : ops) {
    const auto priority = static_cast<Priority>(op % kPriorityCount);
    if (op < 12) {
      const auto request =
          Request(priority, absl::StrCat("c", op % 2), 1 + op % 3);
      const AdmissionDecision decision = queue.OfferRequest(request, kNow);
      if (decision.kind == AdmissionDecision::Kind::kAdmitted) {
        in_flight.push_back(request);
      }
      if (decision.kind == AdmissionDecision::Kind::kQueued) {
        waiting[decision.ticket] = request;
      }
    } else if (op < 20 && !in_flight.empty()) {
      const auto it =
          in_flight.begin() + op % static_cast<int>(in_flight.size());
      queue.ReleaseSlot(*it, absl::Milliseconds(op));
      in_flight.erase(it);
      while (const auto ticket = queue.AdmitNext(kNow)) {
        RC_ASSERT(waiting.contains(*ticket));
        in_flight.push_back(waiting[*ticket]);
        waiting.erase(*ticket);
      }
    } else if (!waiting.empty()) {
      RC_ASSERT(queue.RemoveWaiting(waiting.begin()->first));
      RC_ASSERT(!queue.RemoveWaiting(waiting.begin()->first));
      waiting.erase(waiting.begin());
    }
    std::array<int, kPriorityCount> busy = {};
    std::array<int, kPriorityCount> queued = {};
    for (const auto& request : in_flight) {
      ++busy[static_cast<int>(request.priority)];
    }
    for (const auto& [ticket, request] : waiting) {
      ++queued[static_cast<int>(request.priority)];
    }
    RC_ASSERT(queue.in_flight() == static_cast<int>(in_flight.size()));
    RC_ASSERT(queue.queued() == static_cast<int>(waiting.size()));
    RC_ASSERT(queue.in_flight() <= kCapacity);
    RC_ASSERT(busy[2] <= 8);
    RC_ASSERT(busy[1] + busy[2] <= 9);
    for (int i = 0; i < kPriorityCount; ++i) RC_ASSERT(queued[i] <= 8);
    if (queue.in_flight() < kCapacity) RC_ASSERT(queued[0] == 0);
  }
}

TEST(AdmissionControllerTest, AdmitsWaitingThreadsOneByOne) {
  AdmissionController controller({});
  AdmissionRequest request = Request(Priority::kNormal, "a");
  request.capacity = 1;
  ASSERT_TRUE(controller.AcquireSlot(request).admitted);
  std::atomic<int> in_flight = 0;
  std::atomic<int> admitted = 0;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      if (!controller.AcquireSlot(request).admitted) return;
      EXPECT_EQ(++in_flight, 1);
      ++admitted;
      --in_flight;
      controller.ReleaseSlot(request, absl::Milliseconds(1));
    });
  }
  while (controller.CountQueued(request.pool) < 8) std::this_thread::yield();
  controller.ReleaseSlot(request, absl::Milliseconds(1));
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(admitted, 8);
}

TEST(AdmissionControllerTest, RefusesRequestsAfterTheirDeadline) {
  AdmissionController controller({});
  AdmissionRequest request = Request(Priority::kNormal, "a");
  request.capacity = 1;
  ASSERT_TRUE(controller.AcquireSlot(request).admitted);
  request.deadline = SystemClock()->Now() + absl::Milliseconds(20);
  EXPECT_EQ(controller.AcquireSlot(request).reason, Reason::kQueueTimeout);
  EXPECT_EQ(controller.CountQueued(request.pool), 0);
}

}  // namespace
}  // namespace wisteriareel
