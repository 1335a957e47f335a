#include "nodes/originserver.h"

#include "global/logging.h"

namespace papayarack::nodes {

OriginServer::OriginServer(transport::PeerServer*& server,
                           transport::PeerDispatch& dispatch, Metrics& metrics)
    : server(server), metrics(metrics) {
  dispatch.On(kRecordOriginPath,
              [this](transport::StreamId stream, const std::string& body) {
                this->OnRecord(stream, body);
              });
  dispatch.On(kFindOriginPath,
              [this](transport::StreamId stream, const std::string& body) {
                this->OnFind(stream, body);
              });
}

void OriginServer::OnRecord(transport::StreamId stream,
                            const std::string& body) {
  const Time now = MonotonicNow();
  const auto record = DecodeMessage<origins::RecordOrigin>(body);
  if (!this->store.Record(record, now) &&
      this->problems.Due("origin dropped", now)) {
    Log(LogLevel::kWarn, "origin_dropped",
        {{"request", record.request},
         {"version", record.software.version},
         {"records", this->store.size()}});
  }
  this->metrics.Set("origins_kept", static_cast<double>(this->store.size()));
  this->server->Finish(stream);
}

void OriginServer::OnFind(transport::StreamId stream, const std::string& body) {
  const auto wanted = DecodeMessage<origins::FindOrigin>(body);
  const origins::FoundOrigin reply =
      this->store.Find(wanted.request, MonotonicNow());
  Log(LogLevel::kInfo, "origin_answered",
      {{"request", wanted.request},
       {"known", reply.software.Known()},
       {"version", reply.software.version}});
  this->server->Send(stream, EncodeMessage(reply));
  this->server->Finish(stream);
}

}  // namespace papayarack::nodes
