#include "coordination/groupenvironment.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "coordination/coordinationmessages.h"
#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::coordination {
namespace {

/// A part of a member's state on its way to one that lags. Symptom guarded
/// against: a store of 130 MB is killed when another one joins, because its
/// whole state stands in memory once for each layer that it passes. It is
/// exported once, for all that ask, and leaves in parts.
struct StatePart {
  std::uint64_t version = 0;  ///< Of the export; zero asks for the newest.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  std::uint64_t reader = 0;  ///< The same in all requests of one fetch.
  MSGPACK_DEFINE(version, offset, total, bytes, reader)
};

constexpr std::size_t kPartBytes = 256U << 10U;
/// Whoever asked for no part during this time fetches no more.
constexpr std::chrono::milliseconds kExportKept{3000};
/// A lost part is asked for again so often: a connection that ended is made
/// anew with the first of them, the others are for one that ends again.
constexpr int kPartRetries = 3;

/// The last export of a member's state.
struct ExportedOnce {
  /// Counts from the wall clock: whoever fetches goes on after a lost part, and
  /// must not take the export of a process that was started anew for the rest
  /// of its predecessor's.
  std::uint64_t version = static_cast<std::uint64_t>(WallNow());
  std::string bytes;
  Time made{};
  bool was_read = false;                  ///< Whole, by anyone.
  std::map<std::uint64_t, Time> readers;  ///< Who is at it, as of when.
};

/// Makes a new export, unless the present one will do for `reader`, who begins.
/// Not an old one that somebody had whole already: that may be the asker, whom
/// it did not help.
void ExportFor(ExportedOnce& exported, Time now,
               const replication::ReplicatedGroup& group) {
  const bool new_enough =
      !exported.was_read || now - exported.made < kExportKept;
  if (!exported.bytes.empty() && !exported.readers.empty() && new_enough) {
    return;
  }
  exported.bytes = {};
  exported.bytes = group.ExportState();
  ++exported.version;
  exported.made = now;
  exported.was_read = false;
  exported.readers.clear();
}

/// A state being fetched.
struct StateFetch {
  std::string address;
  std::uint64_t reader = std::random_device()();
  std::uint64_t version = 0;
  std::string bytes;
  std::string reply;
  int retries = 0;  ///< Of the present part.
  std::function<void(std::string)> done;
};

void FetchPart(transport::PeerClient& peers, const std::string& path,
               const std::shared_ptr<StateFetch>& fetch);

/// Symptom guarded against: a member that lags never gets the state of another,
/// though the link between them is full. One lost connection gave up all parts
/// that had arrived, and the next fetch began with the first. A fetch that has
/// nothing yet ends at once: the member is gone, and the leader offers again.
void TakePart(transport::PeerClient& peers, const std::string& path,
              const std::shared_ptr<StateFetch>& fetch) {
  StatePart part;
  try {
    part = DecodeMessage<StatePart>(fetch->reply);
  } catch (const ResultError&) {
    if (fetch->bytes.empty() || fetch->retries >= kPartRetries) {
      fetch->done({});
      return;
    }
    ++fetch->retries;
    FetchPart(peers, path, fetch);
    return;
  }
  fetch->retries = 0;
  if (part.version != fetch->version) {
    fetch->bytes.clear();  // Another export than before: begin again.
    fetch->version = part.version;
  }
  if (part.offset != fetch->bytes.size() || part.bytes.empty()) {
    fetch->done({});
    return;
  }
  fetch->bytes.reserve(part.total);
  fetch->bytes += part.bytes;
  if (fetch->bytes.size() >= part.total) {
    fetch->done(std::move(fetch->bytes));
  } else {
    FetchPart(peers, path, fetch);
  }
}

void FetchPart(transport::PeerClient& peers, const std::string& path,
               const std::shared_ptr<StateFetch>& fetch) {
  StatePart wanted;
  wanted.version = fetch->version;
  wanted.offset = fetch->bytes.size();
  wanted.reader = fetch->reader;
  fetch->reply.clear();
  transport::CallHandlers handlers;
  handlers.on_message = [fetch](std::string message) {
    fetch->reply = std::move(message);
  };
  handlers.on_end = [&peers, path, fetch](transport::CallEnd) {
    TakePart(peers, path, fetch);
  };
  peers.Call(ParseEndpoint(fetch->address, "member"), path,
             EncodeMessage(wanted), std::move(handlers));
}

/// Symptom guarded against: of two members that lag, one is sent the state of
/// this one again and again. The export was let go as soon as one of them had
/// its last part, and the other got a new one, from the first byte. It stays
/// until all that are at it have had it whole.
void ServeState(const std::string& path, transport::PeerServer*& server,
                transport::PeerDispatch& dispatch,
                std::unique_ptr<replication::ReplicatedGroup>& group) {
  const auto exported = std::make_shared<ExportedOnce>();
  dispatch.On(path, [&server, &group, exported](transport::StreamId stream,
                                                const std::string& body) {
    if (group == nullptr) {
      server->Finish(stream);
      return;
    }
    auto part = DecodeMessage<StatePart>(body);
    const Time now = MonotonicNow();
    std::erase_if(exported->readers, [now](const auto& reader) {
      return now - reader.second >= kExportKept;
    });
    const bool known = part.version == exported->version &&
                       part.offset < exported->bytes.size();
    if (!known) {
      ExportFor(*exported, now, *group);
      part.offset = 0;
    }
    exported->readers[part.reader] = now;
    part.version = exported->version;
    part.total = exported->bytes.size();
    part.bytes = exported->bytes.substr(part.offset, kPartBytes);
    server->Send(stream, EncodeMessage(part));
    server->Finish(stream);
    if (part.offset + part.bytes.size() >= part.total) {
      exported->was_read = true;
      exported->readers.erase(part.reader);
      if (exported->readers.empty()) {
        exported->bytes = {};
      }
    }
  });
}

}  // namespace

replication::GroupEnvironment MakeGroupEnvironment(
    asio::io_context& context, consensus::GroupId group_id,
    const std::string& own_address, transport::PeerClient& peers,
    transport::PeerServer*& server, transport::PeerDispatch& dispatch,
    std::unique_ptr<replication::ReplicatedGroup>& group,
    std::function<void(const std::string&)> storage_failed) {
  const std::string message_path = fmt::format("/group/{}/message", group_id);
  const std::string state_path = fmt::format("/group/{}/state", group_id);
  dispatch.On(message_path,
              [&](transport::StreamId stream, const std::string& body) {
                server->Finish(stream);
                // A store hears of the group before it was told to found or
                // join it.
                if (group != nullptr) {
                  group->Step(body);
                }
              });
  ServeState(state_path, server, dispatch, group);
  replication::GroupEnvironment environment;
  environment.own_address = own_address;
  environment.send = [&peers, message_path](const std::string& address,
                                            std::string message) {
    peers.Call(ParseEndpoint(address, "member"), message_path,
               std::move(message), {});
  };
  environment.fetch_state = [&peers, state_path](
                                const std::string& address,
                                const std::function<void(std::string)>& done) {
    const auto fetch = std::make_shared<StateFetch>();
    fetch->address = address;
    fetch->done = done;
    FetchPart(peers, state_path, fetch);
  };
  environment.post = [&context](std::function<void()> work) {
    asio::post(context, std::move(work));
  };
  environment.now = [] { return MonotonicNow(); };
  environment.storage_failed = std::move(storage_failed);
  return environment;
}

}  // namespace papayarack::coordination
