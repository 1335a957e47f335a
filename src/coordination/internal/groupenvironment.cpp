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

/// A part of a member's state, sent to a member that lags. The state is
/// exported once for all readers and sent in parts; sent as one message it
/// would be in memory once for each layer, which gets a store of 130 MB killed
/// when another one joins.
struct StatePart {
  std::uint64_t version = 0;  ///< Of the export; zero asks for the newest.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  std::uint64_t reader = 0;  ///< Same in all requests of one fetch.
  MSGPACK_DEFINE(version, offset, total, bytes, reader)
};

constexpr std::size_t kPartBytes = 256U << 10U;
/// A reader that requested no part for this long has stopped.
constexpr std::chrono::milliseconds kExportLifetime{3000};
/// Retries of a lost part: the first reconnects, the others are for a
/// connection that breaks again.
constexpr int kPartRetries = 3;

/// The last export of a member's state, shared by its readers.
struct SharedExport {
  /// Starts from the wall clock, so that a reader that resumes after a lost
  /// part does not mistake the export of a restarted process for the previous
  /// one.
  std::uint64_t version = static_cast<std::uint64_t>(WallNow());
  std::string bytes;
  Time made{};
  bool was_read = false;                  ///< Completely, by any reader.
  std::map<std::uint64_t, Time> readers;  ///< Last request by reader.
};

/// Makes a new export for a reader that starts a fetch, unless the current one
/// is usable. One that is older than kExportLifetime and has been read
/// completely is not usable: the new reader may be the one that read it, and
/// still lag.
void ExportFor(SharedExport& exported, Time now,
               const replication::ReplicatedGroup& group) {
  const bool new_enough =
      !exported.was_read || now - exported.made < kExportLifetime;
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
  int retries = 0;  ///< Of the current part.
  std::function<void(std::string)> done;
};

void FetchPart(transport::PeerClient& peers, const std::string& path,
               const std::shared_ptr<StateFetch>& fetch);

/// Retries lost parts and keeps those that arrived. Otherwise each broken
/// connection would start the fetch again, and a member that lags might never
/// get the state over a busy link. A fetch without any part yet ends at once:
/// the member is gone, and the leader offers the state again.
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
    fetch->bytes.clear();  // Of another export: start again.
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

/// Keeps an export until all its readers have it completely. If it were dropped
/// when the first reader finishes, a second one would start again with a new
/// export, and might never finish.
void ServeState(const std::string& path, transport::PeerServer*& server,
                transport::PeerDispatch& dispatch,
                std::unique_ptr<replication::ReplicatedGroup>& group) {
  const auto exported = std::make_shared<SharedExport>();
  dispatch.On(path, [&server, &group, exported](transport::StreamId stream,
                                                const std::string& body) {
    if (group == nullptr) {
      server->Finish(stream);
      return;
    }
    auto part = DecodeMessage<StatePart>(body);
    const Time now = MonotonicNow();
    std::erase_if(exported->readers, [now](const auto& reader) {
      return now - reader.second >= kExportLifetime;
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
                // A store may receive messages of the group before it is told
                // to found or join it.
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
