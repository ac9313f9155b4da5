#include "teaseldrift/configuration/documents.hpp"

#include <algorithm>
#include <map>

#include <google/protobuf/util/message_differencer.h>

namespace teaseldrift {

namespace {

using google::protobuf::util::MessageDifferencer;

schema::Document withoutChangeId(schema::Document document)
{
    document.clear_change_id();
    return document;
}

schema::Document redactedForOperators(const std::optional<schema::Document> &document)
{
    schema::Document shown = document.value_or(schema::Document());
    shown.clear_change_id();
    if (shown.has_organisation()) {
        for (schema::KeyRecord &key : *shown.mutable_organisation()->mutable_keys()) {
            key.clear_salt();
            key.clear_hash();
        }
    }
    return shown;
}

void addLines(std::string &text, const std::string &name, std::string_view lines)
{
    while (!lines.empty()) {
        const size_t end = std::min(lines.find('\n'), lines.size());
        text += name + ": " + std::string(lines.substr(0, end)) + "\n";
        lines.remove_prefix(std::min(end + 1, lines.size()));
    }
}

std::string fieldDiff(const DocumentChange &change)
{
    MessageDifferencer differencer;
    std::string lines;
    differencer.ReportDifferencesToString(&lines);
    const google::protobuf::Descriptor *organisation = schema::Organisation::descriptor();
    const google::protobuf::Descriptor *key = schema::KeyRecord::descriptor();
    differencer.TreatAsMap(organisation->FindFieldByName("keys"), key->FindFieldByName("id"));
    const bool equal = differencer.Compare(redactedForOperators(change.before),
                                           redactedForOperators(change.after));
    return equal ? "changed" : lines;
}

} // namespace

std::string documentName(const schema::Document &document)
{
    if (document.has_fleet()) {
        return "fleet";
    }
    if (document.has_organisation()) {
        return "organisation/" + document.organisation().name();
    }
    if (document.has_target()) {
        return "target/" + document.target().id();
    }
    return {};
}

std::vector<NamedDocument> toDocuments(const schema::Configuration &configuration)
{
    std::vector<NamedDocument> documents;
    const auto add = [&documents](schema::Document document) {
        std::string name = documentName(document);
        documents.push_back({.name = std::move(name), .document = std::move(document)});
    };
    if (configuration.has_fleet()) {
        schema::Document document;
        *document.mutable_fleet() = configuration.fleet();
        add(std::move(document));
    }
    for (const schema::Organisation &organisation : configuration.organisations()) {
        schema::Document document;
        *document.mutable_organisation() = organisation;
        add(std::move(document));
    }
    for (const schema::Target &target : configuration.targets()) {
        schema::Document document;
        *document.mutable_target() = target;
        add(std::move(document));
    }
    std::sort(documents.begin(), documents.end(),
              [](const NamedDocument &left, const NamedDocument &right) {
                  return left.name < right.name;
              });
    return documents;
}

schema::Configuration toConfiguration(std::span<const schema::VersionedDocument> documents)
{
    std::map<std::string_view, const schema::VersionedDocument *> byName;
    for (const schema::VersionedDocument &document : documents) {
        const schema::VersionedDocument *&newest = byName[document.name()];
        if (newest == nullptr || newest->revision() < document.revision()) {
            newest = &document;
        }
    }
    schema::Configuration configuration;
    for (auto it = byName.begin(); it != byName.end(); ++it) {
        const schema::Document &document = it->second->document();
        if (document.has_fleet()) {
            *configuration.mutable_fleet() = document.fleet();
        } else if (document.has_organisation()) {
            *configuration.add_organisations() = document.organisation();
        } else if (document.has_target()) {
            *configuration.add_targets() = document.target();
        }
    }
    return configuration;
}

std::vector<DocumentChange> planChanges(std::span<const schema::VersionedDocument> current,
                                        const schema::Configuration &wanted,
                                        std::string_view changeId)
{
    std::map<std::string, DocumentChange> changes;
    for (const schema::VersionedDocument &document : current) {
        if (document.has_document()) {
            changes[document.name()] = {
                    .name = document.name(),
                    .before = document.document(),
                    .expectedRevision = document.revision(),
            };
        }
    }
    for (NamedDocument &named : toDocuments(wanted)) {
        DocumentChange &change = changes[named.name];
        change.name = named.name;
        change.after = std::move(named.document);
    }
    std::vector<DocumentChange> result;
    for (auto it = changes.begin(); it != changes.end(); ++it) {
        DocumentChange &change = it->second;
        if (change.before.has_value() && change.after.has_value()
            && MessageDifferencer::Equals(withoutChangeId(*change.before), *change.after)) {
            continue;
        }
        if (change.after.has_value()) {
            change.after->set_change_id(std::string(changeId));
        }
        result.push_back(std::move(change));
    }
    return result;
}

std::string formatDiff(std::span<const DocumentChange> changes)
{
    std::string text;
    for (const DocumentChange &change : changes) {
        if (!change.after.has_value()) {
            text += change.name + ": deleted\n";
        } else {
            addLines(text, change.name, fieldDiff(change));
        }
    }
    return text;
}

} // namespace teaseldrift
