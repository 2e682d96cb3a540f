#include "test/token_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/router/commit_timeout.h"
#include "src/router/token_plane.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {
namespace {

// Instances start this long before the first request.
constexpr absl::Duration kLead = absl::Seconds(10);
constexpr absl::Duration kStoreLatency = absl::Milliseconds(2);
constexpr absl::Duration kTransactionTime = absl::Milliseconds(8);
constexpr absl::Duration kReadTimeout = absl::Seconds(1);
// Transactions of a partition that wait longer are rejected.
constexpr absl::Duration kMaxPartitionQueue = absl::Seconds(1);
constexpr absl::Duration kPeerLatency = absl::Milliseconds(1);
// Time from the end of a request after which its tokens count as consumed
// rather than as reserved.
constexpr absl::Duration kSettleTime = absl::Milliseconds(1500);
// Share of a budget into which a request must fit for its refusal to be false.
constexpr double kServableShare = 0.97;
// Time limit of the wait for tokens.
constexpr absl::Duration kTokenWait = absl::Milliseconds(400);
constexpr absl::Duration kRetryAfter = absl::Milliseconds(800);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Milliseconds(1600);
constexpr absl::Duration kShutdownTick = absl::Milliseconds(50);
constexpr absl::Duration kBalancerNotice = absl::Milliseconds(3500);
constexpr absl::Duration kShutdownGrace = absl::Milliseconds(7600);
constexpr std::uint16_t kPeerPort = 1;
// Mean of the tokens that Fleet::DrawTokens returns.
constexpr double kMeanTokens = 0.58 * 9190 + 0.42 * 1100;

// Runs functions in the order of their times.
class EventQueue {
 public:
  absl::Time now() const { return now_; }
  void At(absl::Time when, std::function<void()> run) {
    events_.push({std::max(when, now_), ++sequence_, std::move(run)});
  }
  void RunUntil(absl::Time end) {
    while (!events_.empty() && events_.top().when <= end) {
      const std::function<void()> run = std::move(events_.top().run);
      now_ = events_.top().when;
      events_.pop();
      run();
    }
    now_ = end;
  }

 private:
  struct Event {
    absl::Time when;
    std::uint64_t sequence = 0;
    mutable std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

// The rows of the store, by partition.
class Store {
 public:
  std::uint64_t era() const { return era_; }

  // Goes back to the rows and the version of `since`.
  void Restore(absl::Time since) {
    while (!changes_.empty() && changes_.back().at >= since) {
      Change& change = changes_.back();
      if (change.before.has_value()) {
        rows_[change.key] = *std::move(change.before);
      } else {
        rows_.erase(change.key);
      }
      version_ = change.version - 1;
      changes_.pop_back();
    }
    ++era_;
    for (auto& [key, row] : rows_) row.version.era = era_;
  }

  // `era` is the one in which the sender knows the store to be.
  CommitReply Commit(const PartitionTransaction& transaction, std::uint64_t era,
                     absl::Time now) {
    CommitReply reply{.outcome = CommitOutcome::kCommitted,
                      .era = era_,
                      .platform_ms = absl::ToUnixMillis(now)};
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      // The sender doesn't send a condition on a version of an earlier era.
      const bool holds =
          condition.version.era == era &&
          condition.version.number ==
              (it == rows_.end() ? 0 : it->second.version.number);
      if (it != rows_.end()) reply.current.push_back(it->second);
      if (!holds) reply.outcome = CommitOutcome::kConflict;
    }
    if (reply.outcome == CommitOutcome::kConflict) return reply;
    reply.current.clear();
    reply.version = {.era = era_, .number = ++version_};
    for (const PartitionRowWrite& write : transaction.writes) {
      const auto it = rows_.find(write.key);
      changes_.push_back({.at = now, .version = version_, .key = write.key});
      if (it != rows_.end()) changes_.back().before = it->second;
      if (!write.value.has_value()) {
        rows_.erase(write.key);
        continue;
      }
      rows_[write.key] = {
          .key = write.key, .value = *write.value, .version = reply.version};
    }
    return reply;
  }

  RowsReply Read(const std::string& table, const std::string& partition,
                 absl::Time now) const {
    RowsReply reply{.version = {.era = era_, .number = version_},
                    .platform_ms = absl::ToUnixMillis(now)};
    for (auto it = rows_.lower_bound(
             {.table = table, .partition = partition, .key = ""});
         it != rows_.end() && it->first.table == table &&
         it->first.partition == partition;
         ++it) {
      reply.rows.push_back(it->second);
    }
    return reply;
  }

  // Returns the time at which a transaction that arrives at `now` is done, or
  // nullopt if too many wait.
  std::optional<absl::Time> Enqueue(const std::string& partition,
                                    absl::Duration taken, absl::Time now) {
    absl::Time& busy_until = busy_until_[partition];
    if (busy_until - now > kMaxPartitionQueue) return std::nullopt;
    busy_until = std::max(busy_until, now) + taken;
    return busy_until;
  }

 private:
  // A change, with what it replaced.
  struct Change {
    absl::Time at;
    std::uint64_t version = 0;
    PartitionRowKey key;
    std::optional<PartitionRow> before;
  };

  std::uint64_t era_ = 1;
  std::uint64_t version_ = 0;
  std::map<PartitionRowKey, PartitionRow> rows_;
  std::vector<Change> changes_;
  std::map<std::string, absl::Time> busy_until_;
};

struct Request {
  int customer = 0;
  std::int64_t max_tokens = 0;
  std::int64_t used_tokens = 0;
  absl::Duration duration;
  int tries = 0;
  absl::Time tried_at;
};

class Fleet;

// One process of the fleet and its connections to the others.
class Process final : public Scheduler,
                      public AsyncTable,
                      public PeerClient,
                      private TokenPlaneOwner {
 public:
  Process(Fleet* fleet, int index, int incarnation, std::uint64_t seed);

  void Start();
  void Arrive(const Request& request);
  void BeginShutdown();

  TokenPlane* plane() { return &plane_; }
  bool accepts() const { return accepts_; }
  const std::map<std::uint64_t, Request>& running() const { return running_; }

  absl::Time Now() const override;
  void After(absl::Duration delay, std::function<void()> run) override;

  std::uint64_t Era() const override { return era_; }
  std::optional<TableContact> LastContact() const override { return contact_; }
  std::optional<TableContact> LastCommitContact() const override {
    return commit_contact_;
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override;
  void Read(const std::string& table, const std::string& partition,
            ReadDone done) override;
  void PollChanges(const std::string&, const TableVersion&, absl::Duration,
                   PollDone) override {}

  void Send(const Endpoint& peer, const std::string& path,
            absl::Duration timeout, Done done) override;

 private:
  struct Waiting {
    std::uint64_t id = 0;
    Request request;
  };

  void OnInstancesCounted(int) override {}
  void OnTokensChanged(const CustomerId& customer) override;
  // Returns false if the request has to wait for tokens.
  bool TryReserve(const Request& request);
  void Refuse(const Request& request, ReserveResult result);
  void ContinueShutdown();
  void RecordContact(std::optional<std::int64_t> platform_ms, absl::Time sent,
                     std::optional<TableContact>* contact) const;
  // Returns false if a reply of `era` can't be used.
  bool RecordEra(std::uint64_t era) {
    const bool usable = era >= era_;
    era_ = std::max(era_, era);
    return usable;
  }

  Fleet* const fleet_;
  const int index_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  const std::unique_ptr<RandomSource> random_;
  CommitTimeout commit_timeout_;
  std::uint64_t era_ = 0;
  std::optional<TableContact> contact_;
  std::optional<TableContact> commit_contact_;
  TokenPlane plane_;
  bool accepts_ = false;
  absl::Time shutdown_at_;
  std::uint64_t next_id_ = 0;
  std::deque<Waiting> waiting_;
  std::map<std::uint64_t, Request> running_;

  friend class Fleet;
};

// What really happened to a customer's tokens.
struct Truth {
  std::int64_t prepaid = 0;
  std::int64_t consumed = 0;
  // Running requests at their most.
  std::int64_t running = 0;
  // Difference between the most and the consumption of requests that ended
  // within kSettleTime.
  std::int64_t settling = 0;
};

class Fleet {
 public:
  explicit Fleet(const TokenFleetOptions& options)
      : options_(options),
        random_(MakeSeededRandom(options.seed)),
        truth_(static_cast<std::size_t>(options.customers)),
        processes_(static_cast<std::size_t>(options.instances)),
        incarnations_(static_cast<std::size_t>(options.instances)) {}

  TokenFleetResult Run() {
    start_ = queue_.now() + kLead;
    double sum = 0;
    for (int n = 0; n < options_.customers; ++n) {
      weights_.push_back(1.0 / (1 + 0.35 * n));
      sum += weights_.back();
    }
    for (double& weight : weights_) weight /= sum;
    MakeBudgets();
    for (int n = 0; n < options_.instances; ++n) StartProcess(n);
    for (const FleetFault& fault : options_.faults) {
      queue_.At(start_ + fault.at, [this, fault] { Begin(fault); });
    }
    queue_.At(start_, [this] { ArriveNext(); });
    CountCallsEachSecond();
    queue_.RunUntil(start_ + options_.length + absl::Seconds(4));
    return result_;
  }

  EventQueue& queue() { return queue_; }
  Store& store() { return store_; }
  TokenFleetResult& result() { return result_; }
  const RouteConfig& config() const { return config_; }
  Truth& truth(int customer) {
    return truth_[static_cast<std::size_t>(customer)];
  }
  static CustomerId Customer(int n) { return CustomerId(absl::StrCat("c", n)); }
  static int CustomerIndex(const CustomerId& id) {
    return std::stoi(id.value().substr(1));
  }
  static Endpoint AddressOf(int index) {
    return {.host = absl::StrCat(index), .port = kPeerPort};
  }
  Process* process(int n) {
    return processes_[static_cast<std::size_t>(n)].get();
  }
  int ZoneOf(int instance) const { return instance % options_.zones; }

  bool ReachesStore(int n) const {
    return !store_away_ && !isolated_.contains(n) && !store_cut_.contains(n) &&
           cut_zone_ != ZoneOf(n);
  }
  bool Rejected(int n) const { return rejected_.contains(n); }
  bool ReachesPeer(int from, int to) const {
    if (isolated_.contains(from) || isolated_.contains(to)) return false;
    return ZoneOf(from) == ZoneOf(to) ||
           (cut_zone_ != ZoneOf(from) && cut_zone_ != ZoneOf(to));
  }
  double slow() const { return slow_; }
  bool LoseReply() { return random_->Fraction() < lost_share_; }

  void EndRequest(const Request& request, std::int64_t used) {
    Truth& truth = this->truth(request.customer);
    truth.running -= request.max_tokens;
    truth.consumed += used;
    truth.settling += request.max_tokens - used;
    queue_.At(
        queue_.now() + kSettleTime,
        [&truth, rest = request.max_tokens - used] { truth.settling -= rest; });
  }

  void RecordRefusal(const Request& request, int instance, ReserveResult result,
                     absl::Duration retry_after) {
    const Truth& truth = this->truth(request.customer);
    const std::int64_t taken = truth.consumed + truth.running + truth.settling;
    const bool fits = static_cast<double>(taken + request.max_tokens) <=
                      kServableShare * static_cast<double>(truth.prepaid);
    if (fits) {
      ++result_.false_refusals[static_cast<std::size_t>(
          FindCause(request, instance))];
      if (result == ReserveResult::kExhausted) ++result_.false_exhausted;
    } else {
      ++result_.other_refusals;
    }
    if (request.tries >= 2) {
      ++result_.unserved;
      if (fits) ++result_.falsely_unserved;
      return;
    }
    queue_.At(queue_.now() + retry_after * (0.9 + 0.2 * random_->Fraction()),
              [this, request] { Deliver(request); });
  }

  // Sends the request to a random process that accepts requests.
  void Deliver(const Request& request) {
    std::vector<int> candidates;
    for (int n = 0; n < options_.instances; ++n) {
      if (process(n) != nullptr && process(n)->accepts()) {
        candidates.push_back(n);
      }
    }
    if (candidates.empty()) {
      ++result_.unserved;
      return;
    }
    process(candidates[random_->Below(candidates.size())])->Arrive(request);
  }

  void RestartLater(int n, absl::Duration delay) {
    processes_[static_cast<std::size_t>(n)].reset();
    if (removed_.contains(n)) return;
    queue_.At(queue_.now() + delay, [this, n] { StartProcess(n); });
  }

  // Ends the process without notice. Its running requests consume half.
  void Kill(int n, absl::Duration delay) {
    if (process(n) == nullptr) return;
    for (const auto& [id, request] : process(n)->running()) {
      EndRequest(request, request.used_tokens / 2);
    }
    for (const auto& waiting : process(n)->waiting_) {
      static_cast<void>(waiting);
      ++result_.unserved;
    }
    RestartLater(n, delay);
  }

 private:
  // Large and small prompts with some output, as on a chat service.
  std::int64_t DrawTokens() {
    const bool large = random_->Fraction() < 0.58;
    const double normal = std::sqrt(-2 * std::log(1 - random_->Fraction())) *
                          std::cos(6.283185307 * random_->Fraction());
    const double tokens = large ? 6300 + 2890 * std::exp(normal * 0.8 - 0.32)
                                : 1100 * std::exp(normal * 0.6 - 0.18);
    return static_cast<std::int64_t>(std::min(tokens, 40000.0));
  }

  void MakeBudgets() {
    config_.revision = Revision(1);
    for (int n = 0; n < options_.customers; ++n) {
      const double demand = weights_[static_cast<std::size_t>(n)] *
                            options_.requests_per_s * kMeanTokens *
                            absl::ToDoubleSeconds(options_.length);
      truth(n).prepaid =
          static_cast<std::int64_t>(demand * options_.prepaid_factor);
      config_.customers.push_back(
          {.id = Customer(n), .prepaid = Tokens(truth(n).prepaid)});
    }
  }

  void StartProcess(int n) {
    const auto index = static_cast<std::size_t>(n);
    processes_[index] = std::make_unique<Process>(
        this, n, ++incarnations_[index], random_->Next());
    processes_[index]->Start();
  }

  void ArriveNext() {
    if (queue_.now() > start_ + options_.length) return;
    Request request{.customer = DrawCustomer(),
                    .max_tokens = DrawTokens(),
                    .duration = absl::Milliseconds(
                        100 + 900 * random_->Fraction() * random_->Fraction())};
    request.used_tokens = request.max_tokens;
    ++result_.requests;
    Deliver(request);
    const double gap = -std::log(1 - random_->Fraction()) /
                       (options_.requests_per_s * TotalWeight());
    queue_.At(queue_.now() + absl::Seconds(gap), [this] { ArriveNext(); });
  }

  double WeightOf(int n) const {
    return weights_[static_cast<std::size_t>(n)] *
           (n == hot_customer_ ? hot_factor_ : 1);
  }
  double TotalWeight() const {
    double sum = 0;
    for (int n = 0; n < options_.customers; ++n) sum += WeightOf(n);
    return sum;
  }
  int DrawCustomer() {
    double point = random_->Fraction() * TotalWeight();
    for (int n = 0; n < options_.customers; ++n) {
      point -= WeightOf(n);
      if (point < 0) return n;
    }
    return options_.customers - 1;
  }

  std::vector<int> Pick(int count, double share) {
    std::vector<int> all(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) all[static_cast<std::size_t>(n)] = n;
    for (std::size_t n = all.size(); n > 1; --n) {
      std::swap(all[n - 1], all[random_->Below(n)]);
    }
    all.resize(
        static_cast<std::size_t>(std::max(1.0, std::round(share * count))));
    return all;
  }

  void SetFor(std::set<int>* set, const FleetFault& fault) {
    const std::vector<int> picked = Pick(options_.instances, fault.share);
    set->insert(picked.begin(), picked.end());
    queue_.At(queue_.now() + fault.duration, [set, picked] {
      for (const int n : picked) set->erase(n);
    });
  }

  void Begin(const FleetFault& fault) {
    const absl::Time end = queue_.now() + fault.duration;
    switch (fault.kind) {
      case FleetFaultKind::kIsolated:
        SetFor(&isolated_, fault);
        return;
      case FleetFaultKind::kStoreCut:
        SetFor(&store_cut_, fault);
        return;
      case FleetFaultKind::kStoreRejects:
        SetFor(&rejected_, fault);
        return;
      case FleetFaultKind::kStoreSlow:
        slow_ = fault.factor;
        queue_.At(end, [this] { slow_ = 1; });
        return;
      case FleetFaultKind::kRepliesLost:
        lost_share_ = fault.factor;
        queue_.At(end, [this] { lost_share_ = 0; });
        return;
      case FleetFaultKind::kZoneCut:
        cut_zone_ = static_cast<int>(
            random_->Below(static_cast<std::uint64_t>(options_.zones)));
        queue_.At(end, [this] { cut_zone_ = -1; });
        return;
      case FleetFaultKind::kKilled:
        for (const int n : Pick(options_.instances, fault.share)) {
          Kill(n, fault.duration * (0.9 + 0.2 * random_->Fraction()));
        }
        return;
      case FleetFaultKind::kRemoved:
      case FleetFaultKind::kRestarted: {
        absl::Duration after = absl::ZeroDuration();
        for (const int n : Pick(options_.instances, fault.share)) {
          if (fault.kind == FleetFaultKind::kRemoved) removed_.insert(n);
          queue_.At(queue_.now() + after, [this, n] {
            if (process(n) != nullptr) process(n)->BeginShutdown();
          });
          after += fault.duration;
        }
        return;
      }
      case FleetFaultKind::kHotCustomer:
        hot_customer_ = static_cast<int>(
            random_->Below(static_cast<std::uint64_t>(options_.customers)));
        hot_factor_ = fault.factor;
        queue_.At(end, [this] { hot_factor_ = 1; });
        return;
      case FleetFaultKind::kToppedUp:
        TopUp(fault.share);
        return;
      case FleetFaultKind::kStoreRestored: {
        const absl::Time since = queue_.now() - absl::Seconds(fault.factor);
        store_away_ = true;
        queue_.At(end, [this, since] {
          store_.Restore(since);
          store_away_ = false;
        });
        return;
      }
    }
  }

  void TopUp(double share) {
    config_.revision = Revision(config_.revision.value() + 1);
    for (const int n : Pick(options_.customers, share)) {
      truth(n).prepaid += truth(n).prepaid / 4;
      config_.customers[static_cast<std::size_t>(n)].prepaid =
          Tokens(truth(n).prepaid);
    }
    // Applied by the instances that reach the store now; the others learn of it
    // later in reality, which doesn't matter here.
    for (int n = 0; n < options_.instances; ++n) {
      if (process(n) != nullptr && ReachesStore(n)) {
        process(n)->plane()->ApplyConfig(config_);
      }
    }
  }

  RefusalCause FindCause(const Request& request, int instance) {
    const CustomerId customer = Customer(request.customer);
    const bool store = ReachesStore(instance) && !Rejected(instance);
    std::int64_t reachable = 0;
    std::int64_t anywhere = 0;
    for (int n = 0; n < options_.instances; ++n) {
      if (process(n) == nullptr) continue;
      const std::int64_t held =
          process(n)->plane()->ledger()->GetSummary(customer).held_here.value();
      anywhere += held;
      if (n == instance || ReachesPeer(instance, n)) reachable += held;
    }
    const RowsReply rows =
        store_.Read("budgets", customer.value(), queue_.now());
    std::int64_t granted = 0;
    for (const PartitionRow& row : rows.rows) {
      if (row.key.key == "pool") granted = std::stoll(row.value);
    }
    const std::int64_t ungranted = truth(request.customer).prepaid - granted;
    if (store && ungranted >= request.max_tokens) {
      return RefusalCause::kNotGranted;
    }
    if (reachable + (store ? ungranted : 0) >= request.max_tokens) {
      return RefusalCause::kHeldElsewhere;
    }
    return anywhere + ungranted >= request.max_tokens
               ? RefusalCause::kOutOfReach
               : RefusalCause::kStranded;
  }

  void CountCallsEachSecond() {
    queue_.At(queue_.now() + absl::Seconds(1), [this] {
      result_.peak_store_calls = std::max(result_.peak_store_calls,
                                          result_.store_calls - calls_counted_);
      calls_counted_ = result_.store_calls;
      CountCallsEachSecond();
    });
  }

  const TokenFleetOptions options_;
  const std::unique_ptr<RandomSource> random_;
  EventQueue queue_;
  Store store_;
  TokenFleetResult result_;
  absl::Time start_;
  RouteConfig config_;
  std::vector<double> weights_;
  std::vector<Truth> truth_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<int> incarnations_;
  std::int64_t calls_counted_ = 0;

  bool store_away_ = false;
  std::set<int> removed_;
  std::set<int> isolated_;
  std::set<int> store_cut_;
  std::set<int> rejected_;
  int cut_zone_ = -1;
  double slow_ = 1;
  double lost_share_ = 0;
  int hot_customer_ = -1;
  double hot_factor_ = 1;
};

Process::Process(Fleet* fleet, int index, int incarnation, std::uint64_t seed)
    : fleet_(fleet),
      index_(index),
      random_(MakeSeededRandom(seed)),
      plane_({.instance = InstanceId(absl::StrCat("i", index)),
              .incarnation = absl::StrCat(index, "-", incarnation),
              .address = Fleet::AddressOf(index)},
             {.table = this,
              .peers = this,
              .scheduler = this,
              .random = random_.get(),
              .log = DiscardEvents(),
              .owner = static_cast<TokenPlaneOwner*>(this)}) {}

void Process::Start() {
  plane_.Start();
  // The configuration is read from the store a little later. Until then the
  // router refuses all requests.
  After(absl::Milliseconds(30), [this] {
    plane_.ApplyConfig(fleet_->config());
    accepts_ = true;
  });
}

absl::Time Process::Now() const { return fleet_->queue().now(); }

void Process::After(absl::Duration delay, std::function<void()> run) {
  fleet_->queue().At(Now() + delay, [alive = std::weak_ptr<bool>(alive_),
                                     run = std::move(run)] {
    if (!alive.expired()) run();
  });
}

void Process::RecordContact(std::optional<std::int64_t> platform_ms,
                            absl::Time sent,
                            std::optional<TableContact>* contact) const {
  if (!platform_ms.has_value()) return;
  if (contact->has_value() && (*contact)->platform_ms >= *platform_ms) return;
  *contact = TableContact{
      .platform_ms = *platform_ms, .sent = sent, .received = Now()};
}

void Process::Commit(const PartitionTransaction& transaction, CommitDone done) {
  ++fleet_->result().store_calls;
  const absl::Time sent = Now();
  const auto pending = std::make_shared<bool>(true);
  // Runs at most once: with the reply or at the timeout.
  const auto finish = [this, sent, sent_era = era_, pending, done](
                          CommitReply reply, bool replied) {
    if (!std::exchange(*pending, false)) return;
    commit_timeout_.Record(Now() - sent, replied);
    if (reply.era != 0 && !RecordEra(reply.era)) reply = {};
    if (reply.outcome == CommitOutcome::kCommitted && sent_era != 0 &&
        sent_era != reply.era) {
      reply = {};
    }
    if (reply.outcome == CommitOutcome::kConflict) {
      ++fleet_->result().conflicts;
    }
    RecordContact(reply.platform_ms, sent, &contact_);
    RecordContact(reply.platform_ms, sent, &commit_contact_);
    done(reply);
  };
  After(commit_timeout_.Get(), [finish] { finish({}, false); });
  if (!fleet_->ReachesStore(index_)) return;
  const absl::Duration latency = kStoreLatency * fleet_->slow();
  if (fleet_->Rejected(index_)) {
    After(2 * latency,
          [finish] { finish({.outcome = CommitOutcome::kRejected}, true); });
    return;
  }
  const std::string partition = transaction.writes.empty()
                                    ? ""
                                    : transaction.writes.front().key.partition;
  const std::optional<absl::Time> at = fleet_->store().Enqueue(
      partition, kTransactionTime * fleet_->slow(), sent + latency);
  if (!at.has_value()) {
    After(2 * latency,
          [finish] { finish({.outcome = CommitOutcome::kRejected}, true); });
    return;
  }
  // The write takes effect even if the process ends before the reply.
  const auto reply = std::make_shared<CommitReply>();
  fleet_->queue().At(*at, [fleet = fleet_, transaction, era = era_, reply] {
    *reply = fleet->store().Commit(transaction, era, fleet->queue().now());
  });
  if (fleet_->LoseReply()) return;
  After(*at + latency - sent, [this, finish, reply] {
    if (fleet_->ReachesStore(index_)) finish(*reply, true);
  });
}

void Process::Read(const std::string& table, const std::string& partition,
                   ReadDone done) {
  ++fleet_->result().store_calls;
  const absl::Time sent = Now();
  const auto pending = std::make_shared<bool>(true);
  const auto finish = [this, sent, pending,
                       done](std::optional<RowsReply> rows) {
    if (!std::exchange(*pending, false)) return;
    if (rows.has_value() && !RecordEra(rows->version.era)) rows.reset();
    if (rows.has_value()) RecordContact(rows->platform_ms, sent, &contact_);
    done(std::move(rows), LastReason());
  };
  After(kReadTimeout, [finish] { finish(std::nullopt); });
  if (!fleet_->ReachesStore(index_)) return;
  const absl::Duration latency = kStoreLatency * fleet_->slow();
  if (fleet_->Rejected(index_)) {
    After(2 * latency, [finish] { finish(std::nullopt); });
    return;
  }
  After(latency, [this, latency, table, partition, finish] {
    RowsReply rows = fleet_->store().Read(table, partition, Now());
    After(latency, [this, finish, rows = std::move(rows)] {
      if (fleet_->ReachesStore(index_)) finish(rows);
    });
  });
}

void Process::Send(const Endpoint& peer, const std::string& path,
                   absl::Duration timeout, Done done) {
  ++fleet_->result().peer_calls;
  const auto pending = std::make_shared<bool>(true);
  const auto finish = [pending,
                       done](const std::optional<PeerResponse>& response) {
    if (std::exchange(*pending, false)) done(response);
  };
  After(timeout, [finish] { finish(std::nullopt); });
  const int to = std::stoi(peer.host);
  if (!fleet_->ReachesPeer(index_, to)) return;
  if (fleet_->process(to) == nullptr) {
    After(kPeerLatency, [finish] { finish(std::nullopt); });
    return;
  }
  // Delivered even if the sender has ended by then.
  fleet_->queue().At(
      Now() + kPeerLatency, [fleet = fleet_, from = index_, to, path, finish,
                             alive = std::weak_ptr<bool>(alive_)] {
        Process* receiver = fleet->process(to);
        if (receiver == nullptr) return;
        const auto body = receiver->plane()->HandlePeerRequest(path);
        fleet->queue().At(
            fleet->queue().now() + kPeerLatency,
            [fleet, from, to, body, finish, alive] {
              if (alive.expired() || !fleet->ReachesPeer(from, to)) return;
              finish(PeerResponse{.accepted = body.has_value(),
                                  .body = body.value_or("")});
            });
      });
}

void Process::Arrive(const Request& arrived) {
  Request request = arrived;
  ++request.tries;
  request.tried_at = Now();
  if (TryReserve(request)) return;
  const std::uint64_t id = ++next_id_;
  waiting_.push_back({.id = id, .request = request});
  After(kTokenWait, [this, id] {
    const auto it =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [id](const Waiting& waiting) { return waiting.id == id; });
    if (it == waiting_.end()) return;
    const Request late = it->request;
    waiting_.erase(it);
    Refuse(late, ReserveResult::kPlatformUnavailable);
  });
  plane_.OnWaitingForTokens();
}

bool Process::TryReserve(const Request& request) {
  const ReserveResult result = plane_.ledger()->Reserve(
      Fleet::Customer(request.customer), Tokens(request.max_tokens), Now());
  if (result == ReserveResult::kWait) return false;
  if (result != ReserveResult::kReserved) {
    Refuse(request, result);
    return true;
  }
  fleet_->result().waited += Now() - request.tried_at;
  Truth& truth = fleet_->truth(request.customer);
  truth.running += request.max_tokens;
  fleet_->result().overspent =
      std::max(fleet_->result().overspent,
               truth.consumed + truth.running - truth.prepaid);
  const std::uint64_t id = ++next_id_;
  running_[id] = request;
  After(request.duration, [this, id] {
    const Request ended = running_.at(id);
    running_.erase(id);
    fleet_->EndRequest(ended, ended.used_tokens);
    plane_.ledger()->Settle(Fleet::Customer(ended.customer),
                            Tokens(ended.max_tokens), Tokens(ended.used_tokens),
                            /*delivered=*/true);
  });
  return true;
}

void Process::Refuse(const Request& request, ReserveResult result) {
  absl::Duration retry_after = kRetryAfter;
  if (result == ReserveResult::kPlatformUnavailable) {
    const absl::Duration wait = plane_.ledger()->TimeUntilCovered(
        Fleet::Customer(request.customer), Tokens(request.max_tokens), Now());
    // Callers return within a third of their time.
    if (wait < kMaxRetryAfter) retry_after = std::max(wait, kMinRetryAfter);
  }
  fleet_->RecordRefusal(request, index_, result, retry_after);
}

void Process::OnTokensChanged(const CustomerId& customer) {
  const int index = Fleet::CustomerIndex(customer);
  std::deque<Waiting> waiting = std::exchange(waiting_, {});
  for (const Waiting& entry : waiting) {
    if (entry.request.customer != index || !TryReserve(entry.request)) {
      waiting_.push_back(entry);
    }
  }
}

void Process::BeginShutdown() {
  shutdown_at_ = Now();
  plane_.StartDraining();
  After(kBalancerNotice - absl::Seconds(1), [this] { accepts_ = false; });
  ContinueShutdown();
}

void Process::ContinueShutdown() {
  const absl::Duration elapsed = Now() - shutdown_at_;
  if (elapsed >= kBalancerNotice) {
    plane_.ReturnTokens();
    const bool quiet = running_.empty() && plane_.IsSettled();
    if (quiet || elapsed >= kShutdownGrace) {
      if (quiet) plane_.Leave();
      fleet_->queue().At(Now() + kShutdownTick,
                         [fleet = fleet_, index = index_,
                          alive = std::weak_ptr<bool>(alive_)] {
                           if (!alive.expired()) {
                             fleet->Kill(index, absl::Milliseconds(300));
                           }
                         });
      return;
    }
  }
  After(kShutdownTick, [this] { ContinueShutdown(); });
}

}  // namespace

TokenFleetResult& TokenFleetResult::operator+=(const TokenFleetResult& other) {
  requests += other.requests;
  unserved += other.unserved;
  for (std::size_t n = 0; n < kRefusalCauses; ++n) {
    false_refusals[n] += other.false_refusals[n];
  }
  other_refusals += other.other_refusals;
  falsely_unserved += other.falsely_unserved;
  false_exhausted += other.false_exhausted;
  overspent = std::max(overspent, other.overspent);
  store_calls += other.store_calls;
  conflicts += other.conflicts;
  peer_calls += other.peer_calls;
  peak_store_calls = std::max(peak_store_calls, other.peak_store_calls);
  waited += other.waited;
  return *this;
}

std::int64_t TokenFleetResult::AllFalseRefusals() const {
  std::int64_t sum = 0;
  for (const std::int64_t n : false_refusals) sum += n;
  return sum;
}

double TokenFleetResult::Per10000(std::int64_t n) const {
  return requests == 0 ? 0
                       : 10'000.0 * static_cast<double>(n) /
                             static_cast<double>(requests);
}

TokenFleetResult SimulateTokenFleet(const TokenFleetOptions& options) {
  return Fleet(options).Run();
}

std::string RefusalCauseName(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kOutOfReach:
      return "out of reach";
    case RefusalCause::kNotGranted:
      return "not granted";
    case RefusalCause::kHeldElsewhere:
      return "held elsewhere";
    case RefusalCause::kStranded:
      return "stranded";
  }
  return "";
}

}  // namespace wisteriareel
