#include "teaseldrift/weights/weights_record.hpp"

#include <algorithm>
#include <map>

namespace teaseldrift {

namespace {

/// Bounds the record; older changes count as long past.
constexpr size_t maxChanges = 32;

/// Bound of the times in a record, which may hold any number.
constexpr int64_t maxUnixMs = int64_t{1} << 50U;

/// VMs observe a change at slightly different times; an earlier one is written only if it matters.
constexpr int64_t toleratedMs = 500;

using Changes = std::map<uint64_t, RecordedWeightsChange>;

void add(const RecordedWeightsChange &change, Changes &changes)
{
    RecordedWeightsChange &known = changes.try_emplace(change.version, change).first->second;
    known.changedAtUnixMs = std::min(known.changedAtUnixMs, change.changedAtUnixMs);
    known.previous = known.previous ? known.previous : change.previous;
}

void dropSettled(int64_t settledBeforeUnixMs, Changes &changes)
{
    for (Changes::reverse_iterator change = changes.rbegin(); change != changes.rend(); ++change) {
        if (change->second.changedAtUnixMs < settledBeforeUnixMs) {
            changes.erase(changes.begin(), changes.find(change->first));
            break;
        }
    }
    while (changes.size() > maxChanges) {
        changes.erase(changes.begin());
    }
}

/// Whether `recorded` lacks something that `merged` holds.
bool lacks(const Changes &recorded, const Changes &merged)
{
    return std::any_of(merged.begin(), merged.end(),
                       [&](const std::pair<const uint64_t, RecordedWeightsChange> &change) {
                           const Changes::const_iterator found = recorded.find(change.first);
                           return found == recorded.end()
                                  || found->second.changedAtUnixMs
                                             > change.second.changedAtUnixMs + toleratedMs
                                  || (change.second.previous && !found->second.previous);
                       });
}

} // namespace

std::vector<RecordedWeightsChange> changesOf(const schema::WeightsNaming &record)
{
    std::vector<RecordedWeightsChange> changes;
    const auto append = [&changes](const auto &change) {
        changes.push_back(
                {.version = change.version(),
                 .changedAtUnixMs = std::clamp<int64_t>(change.named_at_unix_ms(), 0, maxUnixMs)});
        if (change.has_previous()) {
            changes.back().previous = change.previous();
        }
    };
    for (const schema::WeightsNaming::Change &change : record.earlier()) {
        append(change);
    }
    if (record.version() > 0) {
        append(record);
    }
    return changes;
}

std::optional<schema::WeightsNaming> mergeChanges(const schema::WeightsNaming &record,
                                                  const std::string &model,
                                                  std::span<const RecordedWeightsChange> changes,
                                                  int64_t settledBeforeUnixMs)
{
    Changes recorded;
    for (const RecordedWeightsChange &change : changesOf(record)) {
        add(change, recorded);
    }
    Changes merged = recorded;
    for (const RecordedWeightsChange &change : changes) {
        if (!change.isAssumed || !recorded.contains(change.version)) {
            add(change, merged);
        }
    }
    dropSettled(settledBeforeUnixMs, merged);
    if (merged.empty() || !lacks(recorded, merged)) {
        return std::nullopt;
    }
    schema::WeightsNaming result;
    result.set_model(model);
    const auto write = [](const RecordedWeightsChange &change, auto &message) {
        message.set_version(change.version);
        message.set_named_at_unix_ms(change.changedAtUnixMs);
        if (change.previous) {
            message.set_previous(*change.previous);
        }
    };
    const uint64_t newest = merged.rbegin()->first;
    for (const std::pair<const uint64_t, RecordedWeightsChange> &change : merged) {
        if (change.first == newest) {
            write(change.second, result);
        } else {
            write(change.second, *result.add_earlier());
        }
    }
    return result;
}

} // namespace teaseldrift
