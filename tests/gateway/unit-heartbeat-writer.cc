#include "coppervalve/gateway/heartbeat_writer.h"

#include <CppUTest/TestHarness.h>

#include <chrono>      // milliseconds
#include <functional>  // function
#include <memory>      // make_shared, make_unique
#include <optional>    // optional
#include <string>      // string
#include <utility>     // move

#include "coppervalve/net/clock.h"
#include "fake_store.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

using std::chrono::milliseconds;

// Of a write that the store answers.
constexpr core::Duration kUsualTimeout =
    entry::WritePacingOptions().shortest_timeout;
constexpr core::Duration kMargin{1'000'000};

}  // namespace

// clang-format off
TEST_GROUP(HeartbeatWriter) {
  boost::asio::io_context io;
  FakeStore store{io};
  KeyedStore calls = store.Calls();
  entry::StoreContact contact;
  int written = 0;
  uint64_t refused = 0;         // sequence of the last refused heartbeat
  uint64_t first_written = 0;   // sequence of the first written one
  std::string address = "a:1";  // stated until a heartbeat is refused
  std::shared_ptr<HeartbeatWriter> writer;

  void setup() override {
    HeartbeatWriter::Hooks hooks;
    hooks.compose = [this](v1::RouterBeat& beat) {
      beat.set_caller_address(address);
    };
    hooks.period = [] { return core::Duration(100'000); };
    hooks.expedited_delay = [] { return core::Duration(10'000); };
    hooks.max_spread_delay = [] { return core::Duration::zero(); };
    hooks.urgent = [] { return true; };
    hooks.contact = [this]() -> const entry::StoreContact& { return contact; };
    hooks.on_epoch_announced = [this](uint64_t, uint64_t) {
      writer->StartHeartbeats();
    };
    hooks.on_written = [this](const v1::RouterBeat& beat) {
      first_written = written++ == 0 ? beat.sequence() : first_written;
    };
    hooks.on_failure = [](const core::Error&, core::TimePoint) {};
    hooks.on_refused = [this](const v1::RouterBeat& beat) {
      refused = beat.sequence();
      address.clear();
    };
    hooks.on_superseded = [] {};
    writer = std::make_shared<HeartbeatWriter>(
        io, HeartbeatOptions{"beats", "a", "starts", {}}, calls,
        [] { return uint64_t{7}; }, std::move(hooks));
  }
  void RunFor(core::Duration time) {
    io.restart();
    io.run_for(time);
  }
  // As a reader notices that the store answers no more, or again.
  void Lose() { contact.OnFailure(net::BootNow()); }
  void Regain() {
    contact.OnAnswer(net::BootNow());
    writer->ExpediteSpread();
  }
};
// clang-format on

// Guards against refusing callers for lack of claims, seconds after the store
// answers again.
TEST(HeartbeatWriter, writes_soon_after_the_end_of_a_silence) {
  contact.OnAnswer(net::BootNow());
  writer->Start(0, core::Duration::zero());
  RunFor(milliseconds(300));
  CHECK(written > 0);
  for (const int silence_ms : {1'300, 2'600, 3'700}) {
    store.silent = true;
    Lose();
    RunFor(milliseconds(silence_ms));
    store.silent = false;
    const int before = written;
    RunFor(milliseconds(20));
    Regain();
    RunFor(kUsualTimeout + kMargin);
    CHECK(written > before);
  }
}

// Guards against a heartbeat that is repeated for ever though the store never
// takes it.
TEST(HeartbeatWriter, a_refused_heartbeat_is_replaced_by_another_one) {
  contact.OnAnswer(net::BootNow());
  address.assign(store.max_record_bytes, 'x');
  writer->Start(0, core::Duration::zero());
  RunFor(milliseconds(1'000));
  UNSIGNED_LONGS_EQUAL(1, refused);
  UNSIGNED_LONGS_EQUAL(1, first_written);
  CHECK(written > 1);
}

namespace {

// One start of a router. After Kill() it makes no call and gets no reply.
class RouterStart {
 public:
  RouterStart(boost::asio::io_context& io, FakeStore& store, std::string name)
      : m_name(std::move(name)), m_store(store.Calls()) {
    m_calls.append = [alive = m_alive, &appends = m_appends,
                      append = m_store.append](
                         const std::string& topic, const KeyedRecord& record,
                         const WriterPosition& position, core::Duration timeout,
                         auto handler) {
      if (!*alive) {
        return;
      }
      ++appends;
      append(topic, record, position, timeout,
             [alive, handler](const core::Result<WriteReceipt>& result) {
               if (*alive) {
                 handler(result);
               }
             });
    };
    HeartbeatWriter::Hooks hooks;
    hooks.compose = [this](v1::RouterBeat& beat) {
      beat.set_caller_address(m_name);
    };
    hooks.period = [] { return core::Duration(20'000); };
    hooks.expedited_delay = [] { return core::Duration(5'000); };
    hooks.max_spread_delay = [] { return core::Duration::zero(); };
    hooks.urgent = [] { return true; };
    hooks.contact = [this]() -> const entry::StoreContact& {
      return m_contact;
    };
    hooks.on_epoch_announced = [this](uint64_t, uint64_t end) {
      announced_at = end;
      m_writer->StartHeartbeats();
    };
    hooks.on_written = [this](const v1::RouterBeat&) { ++written; };
    hooks.on_failure = [](const core::Error&, core::TimePoint) {};
    hooks.on_refused = [](const v1::RouterBeat&) {};
    hooks.on_superseded = [this] { superseded = true; };
    m_writer = std::make_shared<HeartbeatWriter>(
        io, HeartbeatOptions{"beats", "a", "starts", {}}, m_calls,
        [] { return uint64_t{7}; }, std::move(hooks));
    m_writer->Start(0, core::Duration::zero());
  }
  ~RouterStart() { Kill(); }
  RouterStart(const RouterStart&) = delete;
  RouterStart& operator=(const RouterStart&) = delete;

  void Kill() { *m_alive = false; }
  int appends() const { return m_appends; }
  uint64_t epoch() const { return m_writer->epoch(); }

  uint64_t announced_at = 0;  ///< end of the log at that time
  int written = 0;
  bool superseded = false;

 private:
  std::string m_name;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  int m_appends = 0;
  KeyedStore m_store;
  KeyedStore m_calls;
  entry::StoreContact m_contact;
  std::shared_ptr<HeartbeatWriter> m_writer;
};

// Of the calls of a start: to obtain its epoch, to announce it, its first
// heartbeats.
constexpr unsigned kCallsOfAStart = 4;

}  // namespace

// clang-format off
TEST_GROUP(EpochOfAStart) {
  // Ends what is left of the starts of a play.
  std::unique_ptr<boost::asio::io_context> context;
  std::unique_ptr<FakeStore> store;

  void teardown() override { context.reset(); }
  // Kills the first start after its call number `killed_after`. Each call whose
  // bit is set in `late` is applied after the first heartbeats of the second.
  void PlayTwoStarts(unsigned late, int killed_after) {
    context = std::make_unique<boost::asio::io_context>();
    store = std::make_unique<FakeStore>(*context);
    unsigned calls = 0;
    store->is_late = [&](const std::string&) {
      return calls < kCallsOfAStart && ((late >> calls++) & 1) != 0;
    };
    RouterStart first(*context, *store, "first");
    RunUntil([&] { return first.appends() >= killed_after; });
    first.Kill();
    calls = kCallsOfAStart;
    RouterStart second(*context, *store, "second");
    CHECK(RunUntil([&] { return second.written >= 2; }));
    store->ApplyLate();
    const int before = second.written;
    CHECK(RunUntil([&] { return second.written >= before + 2; }));
    CHECK_FALSE(second.superseded);
    CHECK(first.epoch() < second.epoch());
    CheckRecords(second);
  }
  // All records from the second start's announcement on are its own, and all
  // that it was told are written are there.
  void CheckRecords(const RouterStart& second) {
    int own = 0;
    bool read = false;
    store->Calls().read("beats", 0, {core::Duration::zero(), 1'000'000},
        [&](const core::Result<RecordBatch>& result) {
          read = true;
          for (const KeyedRecord& record : core::Value(result).records) {
            v1::RouterBeat beat;
            CHECK(beat.ParseFromString(record.value));
            const bool is_second = beat.caller_address() == "second";
            CHECK(is_second || record.offset < second.announced_at);
            CHECK(is_second == (beat.epoch() == second.epoch()));
            own += is_second ? 1 : 0;
          }
        });
    CHECK(RunUntil([&] { return read; }));
    CHECK(own >= second.written);
  }
  bool RunUntil(const std::function<bool()>& done) {
    const core::TimePoint end = net::BootNow() + kMargin;
    while (!done() && net::BootNow() < end) {
      context->restart();
      context->run_for(milliseconds(1));
    }
    return done();
  }
};
// clang-format on

// Guards against two starts that use the same epoch, the first one killed
// before its first heartbeat is in the log: tokens are spent twice.
TEST(EpochOfAStart, is_shared_by_no_other_start_whatever_write_is_late) {
  for (unsigned late = 0; late < (1U << kCallsOfAStart); ++late) {
    for (int killed_after = 1; killed_after <= int{kCallsOfAStart};
         ++killed_after) {
      PlayTwoStarts(late, killed_after);
    }
  }
}
