// A server hands out wrong bytes: some of its answers are HTTP messages that
// are no answer in the protocol, since they bear no seal.
#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 3;
constexpr int kTargets = 3;
constexpr int kRequests = 900;
// Two in 100 answers of one server, as `garble` spoils them.
constexpr int kSpoilEach = 50;

int Play(const std::string& folder, Record* record) {
  // The threads of the stand-ins use them to the end of the process.
  auto& store = *new Store(record);
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  auto& answered = *new std::atomic<int>(0);
  auto& spoiled = *new std::atomic<int>(0);
  store.Put("op", "config", Manifest(7, 6114644).dump());
  for (int n = 0; n < kTargets; ++n) {
    targets.push_back(std::make_unique<Target>(
        TargetOptions{.id = "i-a" + std::to_string(n), .service = "app"},
        &store, record));
  }
  if (Trouble()) {
    targets[0]->answer = [&, record](const Message& request,
                                     int fd) -> std::optional<bool> {
      if (request.Word(1) == "/report" || ++answered % kSpoilEach != 25) {
        return std::nullopt;
      }
      const std::string id = request.Field("wisteriareel-request-id");
      // By turns its own answer with a wrong byte in the name of a field, and
      // bytes of another program.
      const bool is_own = ++spoiled % 2 == 0;
      record->Add("server i-a0 sends wrong bytes for " + id +
                  (is_own ? " (its answer, spoiled)" : " (another page)"));
      const std::string body =
          is_own ? "answer to " + id + "\n" : "<html>It works!</html>\n";
      const std::string fields =
          is_own ? "Wisteriareel-Request-Id: " + id +
                       "\r\nWisteriareel-Response-Se`l: " + Seal(id) + "\r\n"
                 : "Content-Type: text/html\r\n";
      SleepMs(20);
      SendAll(fd, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
      return false;
    };
  }
  for (const auto& target : targets) {
    if (!target->Start()) return kNotRun;
  }
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<int> seeds;
  for (int n = 0; n < kRouters; ++n) {
    routers.push_back(std::make_unique<Router>(n, folder, store.OpenFor(n)));
    seeds.push_back(routers.back()->peers());
  }
  for (const auto& router : routers) {
    if (!router->Start(seeds)) return kNotRun;
  }
  for (const auto& router : routers) {
    if (!router->AwaitReady(10000)) return kNotRun;
  }
  SleepMs(2000);
  std::atomic<int> next{0};
  std::atomic<int> served{0};
  std::atomic<int> foreign{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 6; ++n) {
    clients.emplace_back([&] {
      for (int k = next++; k < kRequests; k = next++) {
        const bool reads = k % 2 == 0;
        const Call call{.id = NewId(),
                        .method = reads ? "GET" : "POST",
                        .path = reads ? "/read/20" : "/write/20",
                        .key = "key-one",
                        .body = reads ? "" : "certificate " + NewId(),
                        .deadline_ms = 3000};
        const Answer answer =
            Send(routers[static_cast<std::size_t>(k % kRouters)]->callers(),
                 call, record);
        if (answer.status < 200 || answer.status >= 300 ||
            answer.end != End::kComplete) {
          continue;
        }
        const std::string seal =
            answer.message.Field("wisteriareel-response-seal");
        if (seal == Seal(call.id) &&
            answer.message.body == "answer to " + call.id + "\n") {
          ++served;
          continue;
        }
        ++foreign;
        record->Add(
            "wrong: " + call.method + " " + call.id + " gets " +
            std::to_string(answer.status) + ", seal '" + seal + "', body '" +
            answer.message.body.substr(0, answer.message.body.find('\n')) +
            "'");
      }
    });
  }
  for (std::thread& client : clients) client.join();
  record->Add("served " + std::to_string(served.load()) + " of " +
              std::to_string(kRequests) + ", wrong bytes sent " +
              std::to_string(spoiled.load()) +
              " times, successes without the server's seal " +
              std::to_string(foreign.load()));
  for (const auto& router : routers) {
    if (router->Ended().has_value()) return kNotRun;
  }
  if (served == 0 || (Trouble() && spoiled == 0)) return kNotRun;
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kNotRun;
  review::Record record(argv[1]);
  if (!record.ok()) return review::kNotRun;
  const int result = review::Play(argv[2], &record);
  record.Add("result " + std::to_string(result));
  fflush(nullptr);
  // The threads of the stand-ins end with the process.
  _exit(result);
}
