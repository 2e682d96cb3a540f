#include "test/crowd/process_watch.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wisteriareel::crowd {
namespace {

constexpr absl::Duration kSampleInterval = absl::Milliseconds(20);
constexpr std::size_t kBytesPerKilobyte = 1024;
// State of a listening socket in the kernel's table.
constexpr char kListening[] = "0A";

std::size_t ReadResidentBytes(pid_t pid) {
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) != 0) continue;
    std::size_t kilobytes = 0;
    std::istringstream(line.substr(sizeof("VmRSS:") - 1)) >> kilobytes;
    return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

std::size_t CountDescriptors(pid_t pid) {
  std::error_code ec;
  std::filesystem::directory_iterator it(absl::StrCat("/proc/", pid, "/fd"),
                                         ec);
  std::size_t n = 0;
  while (!ec && it != std::filesystem::directory_iterator()) {
    ++n;
    it.increment(ec);
  }
  return n;
}

// Returns the bytes that wait in the kernel for connections accepted on
// `ports`.
std::size_t CountQueuedBytes(const std::vector<std::uint16_t>& ports) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    // Fields: index, local address, remote address, state, tx:rx queue.
    std::istringstream fields(line);
    std::string index;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> index >> local >> remote >> state >> queues;
    const std::size_t local_colon = local.find(':');
    const std::size_t queue_colon = queues.find(':');
    if (local_colon == std::string::npos || queue_colon == std::string::npos) {
      continue;
    }
    const auto port = static_cast<std::uint16_t>(
        std::stoul(local.substr(local_colon + 1), nullptr, 16));
    if (state == kListening || std::ranges::find(ports, port) == ports.end()) {
      continue;
    }
    bytes += std::stoul(queues.substr(0, queue_colon), nullptr, 16) +
             std::stoul(queues.substr(queue_colon + 1), nullptr, 16);
  }
  return bytes;
}

}  // namespace

ProcessWatch::ProcessWatch(pid_t pid, std::vector<std::uint16_t> ports)
    : pid_(pid), ports_(std::move(ports)), thread_([this] {
        while (!stopping_) {
          Sample();
          absl::SleepFor(kSampleInterval);
        }
      }) {}

ProcessWatch::~ProcessWatch() {
  stopping_ = true;
  thread_.join();
}

void ProcessWatch::Sample() {
  peak_bytes_ = std::max<std::size_t>(
      peak_bytes_, ReadResidentBytes(pid_) + CountQueuedBytes(ports_));
  peak_descriptors_ =
      std::max<std::size_t>(peak_descriptors_, CountDescriptors(pid_));
}

}  // namespace wisteriareel::crowd
