#include "entry/fleetview.h"

#include <algorithm>

#include "global/jsonschema.h"
#include "global/logging.h"

namespace papayarack::entry {

void FleetView::UpdateDocuments(const control::ChangesReply& changes) {
  const std::lock_guard lock(this->mutex);
  for (const documents::AcceptedDocument& accepted : changes.changes) {
    KnownService& known = this->services[accepted.service];
    if (accepted.revision <= known.revision) {
      continue;
    }
    try {
      known.document =
          documents::ParseDocument(ParseJson(accepted.text, "document"));
      known.revision = accepted.revision;
    } catch (const ResultError& error) {
      Log(LogLevel::kError, "document_unreadable", {{"reason", error.what()}});
    }
  }
  this->revision = std::max(this->revision, changes.revision);
  this->revision_changed.notify_all();
}

void FleetView::UpdateFleet(const std::vector<fleet::FleetMember>& members,
                            bool settled) {
  const std::lock_guard lock(this->mutex);
  this->router.SetFleet(members, settled);
}

std::optional<KnownService> FleetView::FindService(
    std::string_view name) const {
  const std::lock_guard lock(this->mutex);
  const auto direct = this->services.find(name);
  if (direct != this->services.end()) {
    return direct->second;
  }
  for (const auto& [service, known] : this->services) {
    const auto& models = known.document.models;
    if (std::ranges::find(models, name, &documents::ModelSpec::name) !=
        models.end()) {
      return known;
    }
  }
  return std::nullopt;
}

std::vector<KnownService> FleetView::Services() const {
  const std::lock_guard lock(this->mutex);
  std::vector<KnownService> all;
  for (const auto& [name, known] : this->services) {
    all.push_back(known);
  }
  return all;
}

std::uint64_t FleetView::Revision() const {
  const std::lock_guard lock(this->mutex);
  return this->revision;
}

bool FleetView::WaitForRevision(std::uint64_t wanted, Duration wait) {
  std::unique_lock lock(this->mutex);
  return this->revision_changed.wait_for(
      lock, wait, [this, wanted] { return this->revision >= wanted; });
}

std::optional<std::string> FleetView::Choose(const RouteQuery& query) {
  const std::lock_guard lock(this->mutex);
  return this->router.Choose(query, MonotonicNow());
}

std::string FleetView::AddressOf(std::string_view gate) const {
  const std::lock_guard lock(this->mutex);
  return this->router.AddressOf(gate);
}

void FleetView::Finish(std::string_view gate) {
  const std::lock_guard lock(this->mutex);
  this->router.Finish(gate);
}

void FleetView::Report(std::string_view gate, RouteOutcome outcome,
                       Duration took) {
  const std::lock_guard lock(this->mutex);
  this->router.Report(gate, outcome, took, MonotonicNow());
}

void FleetView::MarkLeaving(std::string_view gate) {
  const std::lock_guard lock(this->mutex);
  this->router.MarkLeaving(gate);
}

std::vector<GateView> FleetView::View() const {
  const std::lock_guard lock(this->mutex);
  return this->router.View(MonotonicNow());
}

void FleetView::CountRequest(std::string_view service) {
  const std::lock_guard lock(this->mutex);
  this->budgets[std::string(service)].OnRequest();
}

bool FleetView::TryRetry(std::string_view service) {
  const std::lock_guard lock(this->mutex);
  return this->budgets[std::string(service)].TryRetry();
}

}  // namespace papayarack::entry
