#include "control/controlserver.h"

#include <fstream>
#include <future>
#include <thread>
#include <utility>

#include "control/controlprotocol.h"
#include "control/internal/groupmember.h"
#include "control/internal/queries.h"
#include "control/internal/snapshotfetcher.h"
#include "global/boundedring.h"
#include "global/hash.h"
#include "global/jsonschema.h"
#include "global/variantcodec.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

namespace papayarack::control {
namespace {

constexpr std::size_t kEventRingCapacity = 16384;
constexpr std::chrono::milliseconds kTickInterval{10};
constexpr consensus::GroupId kGroup = 0;
constexpr std::size_t kSnapshotChunkBytes = 1U << 20U;
constexpr int kHeartbeatsUntilDead = 4;

struct PeerRequest {
  transport::StreamId stream = 0;
  std::string path;
  std::string body;
};
struct PeerCancelled {
  transport::StreamId stream = 0;
};
struct WriterProgressed {};
struct SnapshotFetched {
  std::optional<FetchedSnapshot> snapshot;
};
struct PlatformList {
  std::vector<std::string> leaving;
};
struct DumpRequest {
  std::shared_ptr<std::promise<nlohmann::json>> answer;
};
struct LeaveRequest {};

using Event =
    std::variant<PeerRequest, PeerCancelled, WriterProgressed, SnapshotFetched,
                 PlatformList, DumpRequest, LeaveRequest>;

/// Progress of the log writer since the event loop thread last read it. Kept
/// outside the ring: a writer that waited for space in the ring could deadlock
/// with an event loop that waits for the writer.
struct WriterProgress {
  std::optional<consensus::RaftBatch> synced;
  std::optional<consensus::SnapshotMeta> snapshot;
  std::optional<std::string> failure;
};

std::vector<std::string> ReadPlatformList(const std::string& path) {
  std::vector<std::string> leaving;
  const nlohmann::json list = ParseJson(ReadWholeFile(path), "platform list");
  for (const nlohmann::json& vm : list.value("vms", nlohmann::json::array())) {
    if (vm.value("state", "") == "leaving") {
      leaving.push_back(vm.value("name", ""));
    }
  }
  return leaving;
}

}  // namespace

struct ControlServer::Impl {
  Impl(const Settings& settings, Metrics& metrics)
      : settings(settings),
        metrics(metrics),
        files(storage::OpenPosixFileSystem(settings.data_folder)),
        events(kEventRingCapacity),
        fetch_requests(4),
        fleet(settings.heartbeat * kHeartbeatsUntilDead) {
    const auto identity = consensus::ReadIdentity(*this->files);
    if (!identity.has_value()) {
      throw ResultError(ResultCode::kConflict,
                        settings.data_folder +
                            ": not formatted; see `papayarack format --help`. "
                            "A wiped disk must "
                            "join under a new member id");
    }
    consensus::RaftOptions options;
    options.group = kGroup;
    options.self = identity->member;
    options.heartbeat_interval = settings.heartbeat / 5;
    options.election_timeout = settings.election;
    options.seed = Hash64(settings.name, identity->member);
    this->group = std::make_unique<GroupMember>(
        *this->files, options, this->Handlers(), MonotonicNow());
    transport::PeerServerHandlers handlers;
    handlers.on_request = [this](transport::StreamId stream,
                                 std::string_view path, std::string body) {
      if (!this->events.TryPush(
              PeerRequest{stream, std::string(path), std::move(body)})) {
        this->RejectOverloaded(stream);
      }
    };
    handlers.on_cancel = [this](transport::StreamId stream) {
      this->events.TryPush(PeerCancelled{stream});
    };
    this->server = std::make_unique<transport::PeerServer>(
        ParseEndpoint(settings.peer_listen, "/peer_listen"),
        std::move(handlers));
    this->event_thread = std::thread([this] { this->EventLoop(); });
    this->fetch_thread = std::thread([this] { this->FetchLoop(); });
    if (!settings.platform_list.empty()) {
      this->platform_thread = std::thread([this] { this->PlatformLoop(); });
    }
  }

  ~Impl() {
    this->stopping = true;
    this->events.Close();
    this->fetch_requests.Close();
    this->event_thread.join();
    this->fetch_thread.join();
    if (this->platform_thread.joinable()) {
      this->platform_thread.join();
    }
    this->group.reset();
  }

  GroupHandlers Handlers() {
    GroupHandlers handlers;
    handlers.send =
        [this](const std::vector<consensus::RaftMessage>& messages) {
          this->SendMessages(messages);
        };
    handlers.synced = [this](const consensus::RaftBatch& batch) {
      this->UpdateWriterProgress(
          [&](WriterProgress& progress) { progress.synced = batch; });
    };
    handlers.snapshot_saved = [this](const consensus::SnapshotMeta& meta) {
      this->UpdateWriterProgress(
          [&](WriterProgress& progress) { progress.snapshot = meta; });
    };
    handlers.storage_failed = [this](const std::string& reason) {
      this->UpdateWriterProgress(
          [&](WriterProgress& progress) { progress.failure = reason; });
    };
    handlers.answer = [this](RequestToken token,
                             const statemachine::CommandReply& reply) {
      this->Answer(token, reply);
    };
    handlers.read_confirmed = [this](RequestToken token) {
      this->AnswerRead(token);
    };
    handlers.fetch_snapshot = [this](consensus::MemberId from) {
      if (!std::exchange(this->fetching, true)) {
        this->fetch_requests.TryPush(
            {this->group->AddressOf(from), this->group->blobs().length()});
      }
    };
    return handlers;
  }

  template <typename Change>
  void UpdateWriterProgress(const Change& change) {
    {
      const std::lock_guard lock(this->writer_mutex);
      change(this->writer_progress);
    }
    this->events.TryPush(WriterProgressed{});
  }

  void ProcessWriterProgress() {
    WriterProgress taken;
    {
      const std::lock_guard lock(this->writer_mutex);
      taken = std::exchange(this->writer_progress, {});
    }
    if (taken.failure.has_value()) {
      this->group->OnStorageFailed(*taken.failure);
      return;
    }
    if (taken.snapshot.has_value()) {
      this->group->OnSnapshotSaved(*taken.snapshot);
    }
    if (taken.synced.has_value()) {
      this->group->OnSynced(*taken.synced);
    }
  }

  /// Called on the event loop thread, which refreshes the addresses, and on the
  /// log writer thread.
  void SendMessages(const std::vector<consensus::RaftMessage>& messages) {
    for (const consensus::RaftMessage& message : messages) {
      std::string address;
      {
        const std::lock_guard lock(this->address_mutex);
        const auto found = this->addresses.find(message.to);
        if (found == this->addresses.end()) {
          continue;
        }
        address = found->second;
      }
      this->client.Call(ParseEndpoint(address, "member address"), path::kRaft,
                        consensus::EncodeRaftMessage(message), {});
    }
  }

  void RefreshAddresses() {
    const std::lock_guard lock(this->address_mutex);
    for (const ControlMemberSettings& member : this->settings.control) {
      this->addresses[member.id] = member.address;
    }
    for (const consensus::Member& member :
         this->group->raft().members().members) {
      this->addresses[member.id] = member.address;
    }
  }

  void RejectOverloaded(transport::StreamId stream) {
    statemachine::CommandReply reply;
    reply.code = static_cast<int>(ResultCode::kOverloaded);
    reply.text = "this control member has too much to do";
    this->server->Send(stream, EncodeMessage(reply));
    this->server->Finish(stream);
  }

  void EventLoop() {
    while (!this->events.Closed()) {
      for (Event& event : this->events.PopAll(kTickInterval)) {
        std::visit([this](auto& body) { this->On(body); }, event);
      }
      this->ProcessWriterProgress();
      this->group->ProcessReady();
      const Time now = MonotonicNow();
      const bool is_leader =
          this->group->raft().role() == consensus::RaftRole::kLeader;
      if (is_leader != this->was_leader) {
        this->leader_since = now;
        this->was_leader = is_leader;
        Log(LogLevel::kInfo, is_leader ? "leads" : "follows",
            {{"term", this->group->raft().term()}});
      }
      this->RefreshAddresses();
      this->group->Tick(now, WallNow());
      this->healthy =
          !this->group->Failed() && this->group->raft().leader() != 0;
    }
  }

  void On(PeerRequest& request) {
    try {
      this->Route(request);
    } catch (const ResultError& error) {
      statemachine::CommandReply reply;
      reply.code = static_cast<int>(error.result().code);
      reply.text = error.what();
      this->AnswerStream(request.stream, EncodeMessage(reply));
    }
  }

  void Route(PeerRequest& request) {
    if (request.path == path::kRaft) {
      this->server->Finish(request.stream);
      this->group->Step(consensus::DecodeRaftMessage(request.body),
                        MonotonicNow());
      return;
    }
    if (request.path == path::kSnapshot) {
      this->OnSnapshotRequest(request);
      return;
    }
    if (this->leaving) {
      throw ResultError(ResultCode::kLeaving,
                        "this control member is shutting down");
    }
    if (request.path == path::kHeartbeat) {
      this->OnHeartbeat(request);
    } else if (request.path == path::kCommand) {
      this->group->Propose(request.stream,
                           DecodeVariant<statemachine::Command>(request.body),
                           WallNow());
    } else if (request.path == path::kQuery) {
      this->reads[request.stream] = DecodeVariant<Query>(request.body);
      this->group->Read(request.stream, MonotonicNow());
    } else if (request.path == path::kMembers) {
      this->group->ProposeMembers(request.stream,
                                  DecodeMessage<MembersChange>(request.body));
    } else {
      throw ResultError(ResultCode::kProtocol,
                        "unknown request " + request.path);
    }
  }

  void OnHeartbeat(const PeerRequest& request) {
    const auto heartbeat = DecodeMessage<Heartbeat>(request.body);
    // An isolated leader stops answering heartbeats too: check quorum makes it
    // step down.
    if (!this->group->raft().LeaderReady()) {
      statemachine::CommandReply reply;
      reply.code = static_cast<int>(ResultCode::kNotLeader);
      reply.leader = this->group->LeaderAddress();
      reply.text = "this member does not lead";
      this->AnswerStream(request.stream, EncodeMessage(reply));
      return;
    }
    const Time now = MonotonicNow();
    this->fleet.OnHeartbeat(heartbeat.report, now);
    this->fleet.Refresh(now);
    HeartbeatReply body;
    const documents::DocumentStore& documents =
        this->group->state().documents();
    body.documents = {documents.revision(),
                      documents.ChangesSince(heartbeat.report.revision)};
    body.fleet_version = this->FleetVersion();
    body.has_batch_work =
        this->group->state().jobs().HasOpenJobs(heartbeat.report.service);
    body.fleet_settled = now - this->leader_since >
                         this->settings.heartbeat * kHeartbeatsUntilDead;
    // Gates need no list: sending it to each would cost traffic that grows with
    // the square of the fleet.
    if (heartbeat.report.role == "entry" &&
        heartbeat.fleet_version != body.fleet_version) {
      body.members = this->fleet.Members(now);
    }
    statemachine::CommandReply reply;
    reply.body = EncodeMessage(body);
    this->AnswerStream(request.stream, EncodeMessage(reply));
  }

  /// Includes the term, so that versions of different leaders never match.
  std::uint64_t FleetVersion() const {
    constexpr unsigned kTermShift = 32;
    return (this->group->raft().term() << kTermShift) + this->fleet.version();
  }

  void OnSnapshotRequest(const PeerRequest& request) {
    const auto wanted = DecodeMessage<SnapshotRequest>(request.body);
    SnapshotChunk chunk;
    chunk.meta = this->group->raft().log().snapshot();
    chunk.first_blob = this->group->blobs().FirstKept();
    try {
      if (wanted.blobs) {
        const std::uint64_t left =
            chunk.meta.blob_length -
            std::min(chunk.meta.blob_length, wanted.offset);
        chunk.bytes = this->group->blobs().ReadAt(
            wanted.offset, std::min<std::uint64_t>(left, kSnapshotChunkBytes));
      } else {
        this->FillStateChunk(wanted, chunk);
      }
    } catch (const ResultError& error) {
      chunk.code = static_cast<int>(error.result().code);
    }
    this->AnswerStream(request.stream, EncodeMessage(chunk));
  }

  void FillStateChunk(const SnapshotRequest& wanted, SnapshotChunk& chunk) {
    const bool reload = !this->sent_snapshot.has_value() || wanted.offset == 0;
    if (reload) {
      this->sent_snapshot =
          consensus::DurableLog::ReadSnapshot(*this->files, wanted.group);
    }
    if (!this->sent_snapshot.has_value()) {
      throw ResultError(ResultCode::kNotFound, "no snapshot yet");
    }
    chunk.meta = this->sent_snapshot->first;
    chunk.bytes = this->sent_snapshot->second.substr(
        std::min<std::size_t>(wanted.offset,
                              this->sent_snapshot->second.size()),
        kSnapshotChunkBytes);
  }

  void Answer(RequestToken token, const statemachine::CommandReply& reply) {
    this->reads.erase(token);
    this->AnswerStream(token, EncodeMessage(reply));
  }

  void AnswerStream(transport::StreamId stream, std::string_view bytes) {
    this->server->Send(stream, bytes);
    this->server->Finish(stream);
  }

  void AnswerRead(RequestToken token) {
    const auto found = this->reads.find(token);
    if (found == this->reads.end()) {
      return;
    }
    StatusReply status;
    if (std::holds_alternative<QueryStatus>(found->second)) {
      status.members = this->fleet.Members(MonotonicNow());
      status.leader = this->group->LeaderAddress();
      status.term = this->group->raft().term();
    }
    this->Answer(token,
                 AnswerQuery(this->group->state(), found->second, status));
  }

  void On(const PeerCancelled& cancelled) {
    this->reads.erase(cancelled.stream);
  }
  /// Only wakes the event loop thread, which then calls ProcessWriterProgress.
  void On(const WriterProgressed&) {}
  void On(const PlatformList& list) {
    this->fleet.SetPlatformLeaving(list.leaving);
  }
  void On(const DumpRequest& request) {
    request.answer->set_value(this->BuildDump());
  }
  void On(const SnapshotFetched& fetched) {
    this->fetching = false;
    if (fetched.snapshot.has_value()) {
      this->group->Install(fetched.snapshot->meta, fetched.snapshot->state,
                           fetched.snapshot->blob_file,
                           fetched.snapshot->blob_start);
    }
  }
  void On(const LeaveRequest&) {
    this->leaving = true;
    this->group->TransferLeadership(MonotonicNow());
  }

  nlohmann::json BuildDump() {
    nlohmann::json members = nlohmann::json::array();
    for (const fleet::FleetMember& member :
         this->fleet.Members(MonotonicNow())) {
      members.push_back({{"name", member.report.name},
                         {"role", member.report.role},
                         {"zone", member.report.zone},
                         {"service", member.report.service},
                         {"address", member.report.address},
                         {"revision", member.report.revision},
                         {"leaving", member.leaving},
                         {"alive", member.alive},
                         {"quiet_ms", member.quiet_ms}});
    }
    nlohmann::json jobs = nlohmann::json::array();
    for (const jobs::JobSummary* job : this->group->state().jobs().List("")) {
      jobs.push_back({{"id", job->request.id},
                      {"items", job->items},
                      {"done", job->done},
                      {"failed", job->failed},
                      {"leased", job->leased}});
    }
    return {{"role", "control"},
            {"name", this->settings.name},
            {"leaving", this->leaving.load()},
            {"event_ring", this->events.Size()},
            {"groups", nlohmann::json::array({this->group->Dump()})},
            {"jobs", jobs},
            {"fleet", members}};
  }

  void FetchLoop() {
    while (!this->fetch_requests.Closed()) {
      const auto wanted =
          this->fetch_requests.Pop(std::chrono::milliseconds(200));
      if (!wanted.has_value()) {
        continue;
      }
      SnapshotFetched fetched;
      try {
        fetched.snapshot = FetchSnapshot(this->client, wanted->first,
                                         *this->files, kGroup, wanted->second);
      } catch (const ResultError& error) {
        Log(LogLevel::kWarn, "snapshot_fetch_failed",
            {{"reason", error.what()}});
      }
      this->events.Push(std::move(fetched));
    }
  }

  void PlatformLoop() {
    constexpr std::chrono::milliseconds kReadInterval{250};
    while (!this->stopping) {
      try {
        this->events.TryPush(
            PlatformList{ReadPlatformList(this->settings.platform_list)});
      } catch (const std::exception& error) {
        // An unreadable list changes nothing: the last one remains in force.
        Log(LogLevel::kDebug, "platform_list_unreadable",
            {{"reason", error.what()}});
      }
      std::this_thread::sleep_for(kReadInterval);
    }
  }

  Settings settings;
  Metrics& metrics;
  std::unique_ptr<storage::FileSystem> files;
  BoundedRing<Event> events;
  BoundedRing<std::pair<std::string, std::uint64_t>> fetch_requests;
  transport::PeerClient client;
  std::unique_ptr<GroupMember> group;
  fleet::FleetTable fleet;
  std::map<RequestToken, Query> reads;
  std::mutex writer_mutex;
  WriterProgress writer_progress;
  std::mutex address_mutex;
  std::map<consensus::MemberId, std::string> addresses;
  std::optional<std::pair<consensus::SnapshotMeta, std::string>> sent_snapshot;
  bool fetching = false;
  bool was_leader = false;
  Time leader_since{};
  std::atomic<bool> leaving = false;
  std::atomic<bool> stopping = false;
  std::atomic<bool> healthy = false;
  std::thread event_thread;
  std::thread fetch_thread;
  std::thread platform_thread;
  /// Declared last and never reset: its thread refuses requests through this
  /// pointer until the server is destroyed, and reset() would set the pointer
  /// to null before it waits for that thread. A member that stops while
  /// requests arrive would then crash, as it did in 15 of 50 test runs on a
  /// busy machine.
  std::unique_ptr<transport::PeerServer> server;
};

ControlServer::ControlServer(const Settings& settings, Metrics& metrics)
    : impl(std::make_unique<Impl>(settings, metrics)) {}

ControlServer::~ControlServer() = default;

void ControlServer::BeginLeave() { this->impl->events.TryPush(LeaveRequest{}); }

nlohmann::json ControlServer::Dump() const {
  constexpr std::chrono::seconds kTimeout{2};
  auto answer = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> future = answer->get_future();
  if (!this->impl->events.TryPush(DumpRequest{answer}) ||
      future.wait_for(kTimeout) != std::future_status::ready) {
    return {{"role", "control"},
            {"error", "the deciding thread did not answer"}};
  }
  return future.get();
}

bool ControlServer::Healthy() const {
  return this->impl->healthy && !this->impl->leaving;
}

std::uint16_t ControlServer::port() const { return this->impl->server->port(); }

void FormatDataFolder(const Settings& settings, std::uint64_t member,
                      bool join) {
  const auto files = storage::OpenPosixFileSystem(settings.data_folder);
  consensus::MemberList first;
  if (!join) {
    for (const ControlMemberSettings& control : settings.control) {
      first.members.push_back({control.id, control.address, true});
    }
    if (first.Find(member) == nullptr) {
      throw ResultError(
          ResultCode::kBadInput,
          "[/control] does not name member " + std::to_string(member));
    }
  }
  consensus::FormatFolder(*files, {member, "papayarack"}, first, 1);
}

std::uint64_t FormattedMember(const std::string& data_folder) {
  const auto files = storage::OpenPosixFileSystem(data_folder);
  const auto identity = consensus::ReadIdentity(*files);
  return identity.has_value() ? identity->member : 0;
}

}  // namespace papayarack::control
