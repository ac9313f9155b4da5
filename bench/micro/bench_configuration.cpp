/// Measures key checks, settings lookups and configuration updates on one VM.

#include <array>
#include <string>

#include <benchmark/benchmark.h>

#include "teaseldrift/configuration/configuration_sync.hpp"
#include "teaseldrift/configuration/settings_lookup.hpp"
#include "teaseldrift/keys/key.hpp"

namespace {

using namespace teaseldrift;

NewKey makeKey(uint32_t number)
{
    std::array<uint8_t, keyRandomBytes> bytes{};
    for (size_t i = 0; i < sizeof(number); ++i) {
        bytes[i] = static_cast<uint8_t>(number >> (8 * i));
    }
    return createKey(bytes, 0);
}

std::vector<schema::VersionedDocument> makeDocuments(uint32_t organisations)
{
    std::vector<schema::VersionedDocument> documents;
    for (uint32_t i = 0; i < organisations; ++i) {
        schema::VersionedDocument &document = documents.emplace_back();
        document.set_name("organisation/o" + std::to_string(i));
        document.set_revision(i + 1);
        schema::Organisation &organisation = *document.mutable_document()->mutable_organisation();
        organisation.set_name("o" + std::to_string(i));
        organisation.set_rate_tokens_per_s(1000);
        organisation.set_burst_tokens(10000);
        *organisation.add_keys() = makeKey(2 * i).record;
        *organisation.add_keys() = makeKey(2 * i + 1).record;
    }
    return documents;
}

void keyCheck(benchmark::State &state)
{
    ConfigurationReplica replica;
    replica.applyDocuments(makeDocuments(static_cast<uint32_t>(state.range(0))));
    const KeyRing ring(replica.configuration().organisations());
    const std::string known = makeKey(1).text;
    for (auto _ : state) {
        benchmark::DoNotOptimize(ring.findOrganisation(known));
    }
}
BENCHMARK(keyCheck)->Arg(5)->Arg(1400);

void settingsLookup(benchmark::State &state)
{
    schema::FleetDocument fleet;
    for (int64_t i = 0; i < state.range(0); ++i) {
        schema::SettingException &exception = *fleet.add_exceptions();
        exception.set_organisation("o" + std::to_string(i));
        exception.set_setting("max_attempts");
        exception.set_value("2");
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(effectiveSettings(fleet, "o1", "/x", 0));
    }
}
BENCHMARK(settingsLookup)->Arg(4)->Arg(64);

void applyChange(benchmark::State &state)
{
    ConfigurationReplica replica;
    const uint32_t count = static_cast<uint32_t>(state.range(0));
    std::vector<schema::VersionedDocument> documents = makeDocuments(count);
    replica.apply({.documents = documents, .revision = count, .complete = true}, 0);
    uint64_t revision = count;
    for (auto _ : state) {
        documents[0].set_revision(++revision);
        replica.apply({.documents = {documents[0]}, .revision = revision}, revision - 1);
    }
}
BENCHMARK(applyChange)->Arg(5)->Arg(1400);

void rebuildConfiguration(benchmark::State &state)
{
    ConfigurationReplica replica;
    replica.applyDocuments(makeDocuments(static_cast<uint32_t>(state.range(0))));
    for (auto _ : state) {
        const KeyRing ring(replica.configuration().organisations());
        benchmark::DoNotOptimize(&ring);
    }
}
BENCHMARK(rebuildConfiguration)->Arg(5)->Arg(1400)->Unit(benchmark::kMicrosecond);

/// Measures one configuration request and its response between two VMs, without the transport.
void refresh(benchmark::State &state)
{
    Instant now(1s);
    ConfigurationSync responder("vm-1", 1, now);
    ConfigurationSync requester("vm-2", 2, now);
    const uint32_t count = static_cast<uint32_t>(state.range(0));
    const StoreRead read{.documents = makeDocuments(count), .count = count, .revision = count};
    for (const SyncAction &action : responder.tick(now, 0)) {
        responder.onStoreRead(action.callId, read, now);
    }
    schema::Heartbeat heartbeat;
    for (auto _ : state) {
        // A heartbeat that announces a newer revision makes the other VM send a request.
        now += 1s;
        heartbeat.set_configuration_revision(heartbeat.configuration_revision() + count + 1);
        for (const SyncAction &request : requester.onHeartbeat("vm-1", heartbeat, now)) {
            for (const SyncAction &answer :
                 responder.onRequest("vm-2", request.message.configuration_request(), now)) {
                requester.onAnswer("vm-1", answer.message.configuration_answer(), now);
            }
        }
    }
}
BENCHMARK(refresh)->Arg(5)->Arg(1400);

} // namespace

BENCHMARK_MAIN();
