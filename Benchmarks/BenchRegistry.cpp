/// \file
/// Measures how fast the replicated state machine applies claims and changes,
/// the size and time of its snapshots, and its memory by number of claims.

#include "LibRegistry/Registry.h"
#include <cstdio>
#include <malloc.h>

using namespace ferry;
using namespace ferry::registry;

using Clock = std::chrono::steady_clock;

static double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

/// \returns the bytes of the heap that are allocated now.
static double allocatedBytes() {
  struct mallinfo2 Figures = mallinfo2();
  return static_cast<double>(Figures.uordblks + Figures.hblkhd);
}

/// Whether idempotency keys start with the time at which they were drawn.
enum class KeyForm { Stamped, Unstamped };

static ClaimKey keyOf(KeyForm Form, size_t Number) {
  std::string Key = "hold-" + std::to_string(Number);
  if (Form == KeyForm::Stamped)
    Key = "t" + std::to_string(1'700'000'000'000 + 10 * Number) + "-" + Key;
  return {{"prestamos"}, {"app-prestamos"}, Key};
}

static ClaimAttempt attemptOf(size_t Number) {
  return {{"host-" + std::to_string(Number % 7)}, {1'700'000'000'000}, Number};
}

/// Claims and completes \p Count keys with an answer of \p AnswerBytes.
static void runCalls(Registry &State, KeyForm Form, size_t Count,
                     size_t AnswerBytes) {
  uint64_t Index = State.appliedIndex();
  for (size_t Number = 0; Number < Count; ++Number) {
    ClaimKey Key = keyOf(Form, Number);
    UnixMillis ClaimedAt{1'700'000'000'000 + 10 * static_cast<int64_t>(Number)};
    State.apply(++Index, encodeCommand(
                             Claim{Key, attemptOf(Number), Number, ClaimedAt}));
    ClaimCompleted Answer{201, "application/json",
                          std::string(AnswerBytes, 'x')};
    State.apply(++Index,
                encodeCommand(Complete{Key, attemptOf(Number), Answer}));
  }
}

static void measureRates() {
  static constexpr size_t Count = 100'000;
  std::printf("| command | applied/s, with encoding and decoding |\n"
              "|---|---|\n");
  {
    Registry State;
    auto Start = Clock::now();
    runCalls(State, KeyForm::Stamped, Count, 200);
    std::printf("| claim, then its answer of 200 bytes | %.0f |\n",
                2 * Count / secondsSince(Start));
  }
  Registry State;
  std::string Text(20'000, 'y');
  auto Start = Clock::now();
  static constexpr size_t Changes = 20'000;
  for (size_t Base = 0; Base < Changes; ++Base)
    State.apply(Base + 1,
                encodeCommand(ChangeDescription{
                    {Base}, "operation-" + std::to_string(Base), Text}));
  std::printf("| change of 20,000 bytes | %.0f |\n",
              Changes / secondsSince(Start));
}

static void measureSnapshots(KeyForm Form, size_t Count, size_t AnswerBytes) {
  double Before = allocatedBytes();
  Registry State;
  runCalls(State, Form, Count, AnswerBytes);
  double Allocated = allocatedBytes() - Before;
  auto Start = Clock::now();
  std::string Bytes = State.snapshot();
  double Saving = secondsSince(Start);
  Start = Clock::now();
  Registry Restored;
  bool IsRestored = Restored.tryRestore(Bytes).has_value();
  double Loading = secondsSince(Start);
  auto Claims = static_cast<double>(Count);
  std::printf("| %s | %zu | %zu | %zu | %zu | %.1f | %.1f | %.1f | %.0f | %.0f "
              "| %s |\n",
              Form == KeyForm::Stamped ? "stamped" : "unstamped", Count,
              AnswerBytes, State.claims().entryCount(),
              State.claims().tombstoneCount(),
              static_cast<double>(Bytes.size()) / 1e6, Saving * 1e3,
              Loading * 1e3, Allocated / Claims,
              static_cast<double>(State.claims().memoryBytes()) / Claims,
              IsRestored ? "yes" : "no");
}

int main() {
  measureRates();
  std::printf("\n| keys | calls | answer bytes | whole entries | tombstones | "
              "snapshot MB | save ms | load ms | allocated bytes a call | "
              "estimate | restored |\n|---|---|---|---|---|---|---|---|---|---|"
              "---|\n");
  for (size_t Count : {1'000, 10'000, 100'000, 450'000})
    for (KeyForm Form : {KeyForm::Stamped, KeyForm::Unstamped})
      measureSnapshots(Form, Count, 200);
  // With larger answers the ledger reaches its bound of bytes first.
  measureSnapshots(KeyForm::Stamped, 100'000, 2'000);
  return 0;
}
