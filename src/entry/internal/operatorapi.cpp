#include "entry/internal/operatorapi.h"

#include <utility>

#include "documents/servicedocument.h"
#include "entry/internal/httperror.h"
#include "global/jsonschema.h"
#include "global/logging.h"

namespace papayarack::entry {
namespace {

control::StatusReply FetchStatus(EntryContext& context) {
  const auto reply =
      context.control.Ask(control::QueryStatus{}, kControlCallTimeout);
  control::RequireOk(reply);
  return DecodeMessage<control::StatusReply>(reply.body);
}

/// Whether a process needs the documents of a service: an entry those of all
/// services, a gate those of its own service.
bool NeedsDocument(const fleet::FleetMember& member, std::string_view service) {
  return member.report.role == "entry" || member.report.service == service;
}

nlohmann::json MemberToJson(const fleet::FleetMember& member) {
  return {
      {"name", member.report.name},       {"role", member.report.role},
      {"zone", member.report.zone},       {"service", member.report.service},
      {"address", member.report.address}, {"revision", member.report.revision},
      {"running", member.report.running}, {"waiting", member.report.waiting},
      {"limit", member.report.limit},     {"alive", member.alive},
      {"leaving", member.leaving},        {"quiet_ms", member.quiet_ms}};
}

nlohmann::json ServiceToJson(const documents::AcceptedDocument& accepted,
                             const control::StatusReply& status) {
  nlohmann::json in_force = nlohmann::json::array();
  nlohmann::json differs = nlohmann::json::array();
  for (const fleet::FleetMember& member : status.members) {
    if (!NeedsDocument(member, accepted.service)) {
      continue;
    }
    if (member.report.revision >= accepted.revision) {
      in_force.push_back(member.report.name);
    } else {
      differs.push_back(
          {{"name", member.report.name},
           {"revision", member.report.revision},
           {"why", member.alive
                       ? "has not taken the revision yet"
                       : "not heard of for " + std::to_string(member.quiet_ms) +
                             " ms"}});
    }
  }
  return {{"service", accepted.service},
          {"version", accepted.version},
          {"revision", accepted.revision},
          {"wanted", nlohmann::json::parse(accepted.text)},
          {"in_force_on", in_force},
          {"differs", differs},
          {"in_force_everywhere", differs.empty()}};
}

void PutService(EntryContext& context, const httplib::Request& request,
                httplib::Response& response) {
  const nlohmann::json body = ParseJson(request.body, "document");
  const documents::ServiceDocument document = documents::ParseDocument(body);
  const std::string name = request.matches[1].str();
  if (document.service != name) {
    throw ResultError(ResultCode::kBadInput, "document: [/service] is " +
                                                 document.service +
                                                 ", the path says " + name);
  }
  const statemachine::CommandReply reply = context.control.Run(
      statemachine::SubmitDocument{name, document.version,
                                   documents::CanonicalText(body)},
      kControlCallTimeout);
  if (reply.Code() == ResultCode::kConflict) {
    const auto outcome = DecodeMessage<documents::SubmitOutcome>(reply.body);
    nlohmann::json conflict =
        ErrorBody({ResultCode::kConflict, reply.text, {}}, true);
    if (!outcome.in_force.text.empty()) {
      const nlohmann::json in_force =
          nlohmann::json::parse(outcome.in_force.text);
      conflict["in_force"] = in_force;
      conflict["difference"] = documents::DescribeDifference(in_force, body);
    }
    response.status = Describe(ResultCode::kConflict).http_status;
    response.set_content(conflict.dump(2) + "\n", "application/json");
    return;
  }
  control::RequireOk(reply);
  const auto outcome = DecodeMessage<documents::SubmitOutcome>(reply.body);
  Log(LogLevel::kInfo, "document_accepted",
      {{"service", name},
       {"version", document.version},
       {"revision", outcome.revision}});
  SetJson(response, {{"service", name},
                     {"version", document.version},
                     {"revision", outcome.revision}});
}

void GetService(EntryContext& context, const httplib::Request& request,
                httplib::Response& response) {
  const control::StatusReply status = FetchStatus(context);
  const std::string name = request.matches[1].str();
  for (const documents::AcceptedDocument& accepted : status.documents) {
    if (accepted.service == name) {
      SetJson(response, ServiceToJson(accepted, status));
      return;
    }
  }
  throw ResultError(ResultCode::kNotFound, "no such service: " + name);
}

void GetStatus(EntryContext& context, const httplib::Request&,
               httplib::Response& response) {
  const control::StatusReply status = FetchStatus(context);
  nlohmann::json services = nlohmann::json::array();
  for (const documents::AcceptedDocument& accepted : status.documents) {
    services.push_back(ServiceToJson(accepted, status));
  }
  nlohmann::json members = nlohmann::json::array();
  for (const fleet::FleetMember& member : status.members) {
    members.push_back(MemberToJson(member));
  }
  SetJson(response, {{"revision", status.revision},
                     {"control_leader", status.leader},
                     {"control_term", status.term},
                     {"services", services},
                     {"members", members}});
}

}  // namespace

void AddOperatorApi(httplib::Server& server, EntryContext& context) {
  const GuardedRoutes guarded(context);
  server.Put(R"(/v1/services/([^/]+))", guarded(PutService));
  server.Get(R"(/v1/services/([^/]+))", guarded(GetService));
  server.Get("/v1/status", guarded(GetStatus));
}

}  // namespace papayarack::entry
