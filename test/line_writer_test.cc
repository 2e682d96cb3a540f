#include "src/observability/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

using ::testing::Each;
using ::testing::Not;
using ::testing::SizeIs;

constexpr absl::Duration kLimit = absl::Seconds(10);

// A pipe whose reader reads only when the test says so.
class LineWriterTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(pipe(pipe_.data()), 0);
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    fcntl(pipe_[1], F_SETPIPE_SZ, kPipeBytes);
  }
  // Leaves the other end open, as LineWriterOptions::fd requires.
  void TearDown() override { close(pipe_[0]); }

  std::string ReadAvailable() const {
    std::string text;
    std::array<char, 4096> buf;
    for (;;) {
      const ssize_t n = read(pipe_[0], buf.data(), buf.size());
      if (n <= 0) return text;
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
  }

  // Reads until all lines of `writer` are written.
  std::string ReadAll(LineWriter* writer) const {
    std::string text;
    while (!writer->Flush(absl::Milliseconds(1))) text += ReadAvailable();
    return text + ReadAvailable();
  }

  static constexpr int kPipeBytes = 4096;
  std::array<int, 2> pipe_ = {-1, -1};
};

TEST_F(LineWriterTest, WritesLinesInOrder) {
  LineWriter writer({.fd = pipe_[1]});
  std::string expected;
  for (int n = 0; n < 2000; ++n) {
    const std::string line = absl::StrCat("line ", n, "\n");
    EXPECT_TRUE(writer.Write(line, /*is_important=*/false));
    expected += line;
  }
  EXPECT_EQ(ReadAll(&writer), expected);
}

TEST_F(LineWriterTest, KeepsRoomForImportantLinesWhileTheReaderPauses) {
  LineWriter writer({.fd = pipe_[1],
                     .max_pending_bytes = 8 << 10,
                     .reserved_bytes = 1 << 10});
  const std::string line = std::string(99, 'x') + "\n";
  int written = 0;
  while (writer.Write(line, /*is_important=*/false)) ++written;
  EXPECT_LE(written * 100, kPipeBytes + 2 * 4096 + (8 << 10));
  int important = 0;
  while (writer.Write("important\n", /*is_important=*/true)) ++important;
  EXPECT_GE(important, 100);
  const std::string text = ReadAll(&writer);
  const std::vector<std::string> lines = absl::StrSplit(text, '\n');
  EXPECT_THAT(lines, SizeIs(written + important + 1));
  EXPECT_TRUE(writer.Write(line, /*is_important=*/false));
  EXPECT_EQ(ReadAll(&writer), line);
}

// The end of the process cut a line in two.
TEST_F(LineWriterTest, ALineIsNeverWrittenInPart) {
  const std::string line = std::string(149, 'x') + "\n";
  {
    LineWriter writer({.fd = pipe_[1]});
    for (int n = 0; n < 1000; ++n) writer.Write(line, false);
  }
  std::string text = ReadAvailable();
  ASSERT_THAT(text, Not(testing::IsEmpty()));
  ASSERT_EQ(text.back(), '\n');
  text.pop_back();
  const std::vector<std::string> lines = absl::StrSplit(text, '\n');
  EXPECT_THAT(lines, Each(SizeIs(149)));
}

TEST_F(LineWriterTest, TheDestructorDoesNotWaitForAPausedReader) {
  const auto begin = absl::Now();
  {
    LineWriter writer({.fd = pipe_[1]});
    for (int n = 0; n < 1000; ++n) writer.Write("a line of the log\n", false);
  }
  EXPECT_LT(absl::Now() - begin, kLimit);
}

TEST_F(LineWriterTest, LinesOfThreadsDontMix) {
  LineWriter writer({.fd = pipe_[1]});
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int t = 0; t < 8; ++t) {
    threads.emplace_back([&writer, t] {
      const std::string line =
          std::string(40, static_cast<char>('a' + t)) + "\n";
      for (int n = 0; n < 200; ++n) writer.Write(line, false);
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::string text = ReadAll(&writer);
  text.pop_back();
  const std::vector<std::string> lines = absl::StrSplit(text, '\n');
  EXPECT_THAT(lines, SizeIs(1600));
  for (const std::string& line : lines) {
    EXPECT_EQ(line, std::string(40, line.front()));
  }
}

// A reader that was gone ended the process.
TEST_F(LineWriterTest, AReaderThatIsGoneDoesNotEndTheProcess) {
  close(pipe_[0]);
  pipe_[0] = -1;
  LineWriter writer({.fd = pipe_[1]});
  EXPECT_TRUE(writer.Write("lost\n", /*is_important=*/true));
  EXPECT_TRUE(writer.Flush(kLimit));
}

}  // namespace
}  // namespace wisteriareel
