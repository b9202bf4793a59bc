#include "config/SheetRowReaderPriv.h"

#include "config/ConfigLimits.h"
#include "config/IdText.h"
#include "config/SettingText.h"

#include <algorithm>

namespace lacewing {

const std::array<SheetRowReader::Kind, 4>& SheetRowReader::Kinds()
{
  static const std::array<Kind, 4> kinds = [] {
    std::set<std::string> serviceColumns{ kKindColumn, kIdColumn };
    for (const ServiceField& field : ServiceFields()) {
      serviceColumns.insert(field.heading);
    }
    return std::array<Kind, 4>{ {
      { "service", &SheetRowReader::ReadService, std::move(serviceColumns) },
      { "zone",
        &SheetRowReader::ReadZone,
        { kKindColumn, kIdColumn, kStateColumn } },
      { "host",
        &SheetRowReader::ReadHost,
        { kKindColumn, kIdColumn, kZoneColumn, kStateColumn } },
      { "target",
        &SheetRowReader::ReadTarget,
        { kKindColumn,
          kIdColumn,
          kServiceColumn,
          kZoneColumn,
          kAddressColumn,
          kStateColumn } },
    } };
  }();
  return kinds;
}

void SheetRowReader::Read(const CsvRow& aRow)
{
  row_ = &aRow;
  if (aRow.cells.size() > columns_.Count()) {
    Note("",
         std::to_string(aRow.cells.size()) + " cells",
         "write at most " + std::to_string(columns_.Count()) +
           ", one per heading; a cell that holds the separator needs "
           "quotation marks");
    return;
  }
  const std::string& kind = columns_.Cell(aRow, kKindColumn);
  const auto* found =
    std::find_if(Kinds().begin(), Kinds().end(), [&](const Kind& aKind) {
      return kind == aKind.name;
    });
  if (found == Kinds().end()) {
    Note(kKindColumn, Quoted(kind), "write service, zone, host or target");
    return;
  }
  for (const std::string& heading :
       columns_.FilledOutside(aRow, found->columns)) {
    Note(heading,
         Quoted(columns_.Cell(aRow, heading)),
         "leave the cell empty; a " + kind + " does not use it");
  }
  (this->*found->read)();
}

void SheetRowReader::ReadService()
{
  ServiceConfig service;
  service.id = ServiceId(Id(kIdColumn));
  Unique(serviceIds_, kIdColumn, service.id.value());
  for (const ServiceField& field : ServiceFields()) {
    const std::string& cell = Needed(field.heading);
    if (!cell.empty()) {
      const auto read = ParseSetting(field, cell, service);
      if (!read) {
        Note(field.heading, Quoted(cell), read.error().remedy);
      }
    }
  }
  if (service.coldLimit > service.slots) {
    Note("cold-start limit",
         std::to_string(service.coldLimit.value()),
         "write at most the service's slots");
  }
  const ServiceId id = service.id;
  services_.emplace(id, std::move(service));
}

void SheetRowReader::ReadZone()
{
  const ZoneId id(Id(kIdColumn));
  Unique(zoneIds_, kIdColumn, id.value());
  result_.zones[id] = { id, State() };
}

void SheetRowReader::ReadHost()
{
  HostConfig host;
  host.id = HostId(Id(kIdColumn));
  Unique(hostIds_, kIdColumn, host.id.value());
  host.zone = ZoneId(Id(kZoneColumn));
  host.lifecycle = State();
  hosts_.push_back({ row_->number, std::move(host) });
}

void SheetRowReader::ReadTarget()
{
  TargetRow row;
  row.row = row_->number;
  row.target.id = TargetId(Id(kIdColumn));
  Unique(targetIds_, kIdColumn, row.target.id.value());
  row.service = ServiceId(Id(kServiceColumn));
  row.target.zone = ZoneId(Id(kZoneColumn));
  const std::string& address = Needed(kAddressColumn);
  if (!address.empty()) {
    const auto endpoint = Endpoint::Parse(address);
    if (endpoint) {
      row.target.endpoint = endpoint.value();
      Unique(addresses_, kAddressColumn, endpoint.value().ToString());
    } else {
      Note(kAddressColumn, Quoted(address), endpoint.error().remedy);
    }
  }
  row.target.lifecycle = State();
  targets_.push_back(std::move(row));
}

void SheetRowReader::Note(const std::string& aColumn,
                          std::string aFound,
                          std::string aRemedy)
{
  problems_.push_back(
    { row_->number, aColumn, std::move(aFound), std::move(aRemedy) });
}

const std::string& SheetRowReader::Needed(const char* aColumn)
{
  const std::string& cell = columns_.Cell(*row_, aColumn);
  const std::string kind = columns_.Cell(*row_, kKindColumn);
  if (!columns_.Has(aColumn)) {
    if (missingColumns_.insert(aColumn).second) {
      problems_.push_back({ RowNumber(1),
                            aColumn,
                            "no such column",
                            "add it; each " + kind + " needs it" });
    }
  } else if (cell.empty()) {
    Note(aColumn, "an empty cell", "fill it; each " + kind + " needs it");
  }
  return cell;
}

std::string SheetRowReader::Id(const char* aColumn)
{
  const std::string& cell = Needed(aColumn);
  if (!cell.empty() && !IsIdText(cell)) {
    Note(aColumn, Quoted(cell), std::string("write ") + kIdRule);
    return {};
  }
  return cell;
}

Lifecycle SheetRowReader::State()
{
  const std::string& cell = Needed(kStateColumn);
  const auto lifecycle = ParseLifecycle(cell);
  if (lifecycle) {
    return lifecycle.value();
  }
  if (!cell.empty()) {
    Note(kStateColumn, Quoted(cell), lifecycle.error().remedy);
  }
  return Lifecycle::kOut;
}

void SheetRowReader::Unique(std::map<std::string, RowNumber>& aSeen,
                            const char* aColumn,
                            const std::string& aValue)
{
  if (aValue.empty()) {
    return;
  }
  const auto [earlier, inserted] = aSeen.emplace(aValue, row_->number);
  if (!inserted) {
    Note(aColumn,
         Quoted(aValue) + " again",
         "write another one; row " + std::to_string(earlier->second.value()) +
           " has it already");
  }
}

void SheetRowReader::CheckZone(RowNumber aRow, const ZoneId& aZone)
{
  if (!aZone.empty() && zoneIds_.count(aZone.value()) == 0) {
    problems_.push_back({ aRow,
                          kZoneColumn,
                          "the unknown zone " + Quoted(aZone.value()),
                          "write a zone of this sheet or add a zone row" });
  }
}

void SheetRowReader::CheckCount(const char* aWhat,
                                std::size_t aCount,
                                std::size_t aMax)
{
  if (aCount > aMax) {
    problems_.push_back({ RowNumber(1),
                          kKindColumn,
                          std::to_string(aCount) + " " + aWhat,
                          "write at most " + std::to_string(aMax) });
  }
}

Configuration SheetRowReader::Finish()
{
  for (HostRow& row : hosts_) {
    CheckZone(row.row, row.host.zone);
    const HostId id = row.host.id;
    result_.hosts[id] = std::move(row.host);
  }
  for (TargetRow& row : targets_) {
    CheckZone(row.row, row.target.zone);
    const auto service = services_.find(row.service);
    if (service != services_.end()) {
      service->second.targets.push_back(std::move(row.target));
      if (service->second.targets.size() == kMaxTargetsOfService + 1) {
        problems_.push_back({ row.row,
                              kServiceColumn,
                              "more than " +
                                std::to_string(kMaxTargetsOfService) +
                                " targets of " + Quoted(row.service.value()),
                              "split the service" });
      }
    } else if (!row.service.empty()) {
      problems_.push_back(
        { row.row,
          kServiceColumn,
          "the unknown service " + Quoted(row.service.value()),
          "write a service of this sheet or add a service "
          "row" });
    }
  }
  CheckCount("services", services_.size(), kMaxServices);
  CheckCount("zones", zoneIds_.size(), kMaxZones);
  CheckCount("hosts", hostIds_.size(), kMaxHosts);
  for (auto& [id, service] : services_) {
    std::sort(service.targets.begin(),
              service.targets.end(),
              [](const TargetConfig& aLeft, const TargetConfig& aRight) {
                return aLeft.id < aRight.id;
              });
    result_.services[id] =
      std::make_shared<const ServiceConfig>(std::move(service));
  }
  return std::move(result_);
}

} // namespace lacewing
