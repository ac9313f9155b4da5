#include "teaseldrift/fleet/configuration_task.hpp"

#include <array>

#include <catch2/catch.hpp>

#include "standins/store_gateway.hpp"
#include "standins/vm_list_service.hpp"
#include "teaseldrift/configuration/change_outcome.hpp"
#include "teaseldrift/keys/key.hpp"
#include "teaseldrift/store/etcd_store.hpp"
#include "teaseldrift/store/http_vm_list.hpp"

namespace teaseldrift::fleet {

namespace {

using Task = ConfigurationTask<store::EtcdStore, store::HttpVmList>;

constexpr const char *storePrefix = "/teaseldrift/";

struct Vm
{
    store::EtcdStore store;
    store::HttpVmList list;
    PeerNetwork network;
    KeyRing keys;
    schema::Configuration configuration;
    std::unique_ptr<Task> task;

    Vm(http::EventLoop &loop, const std::string &id, uint64_t incarnation, uint16_t storePort,
       uint16_t listPort)
        : store(loop, {.address = "127.0.0.1", .port = storePort}, 500ms),
          list(loop, {.address = "127.0.0.1", .port = listPort}, 500ms),
          network({.vmId = id, .incarnation = incarnation},
                  [&loop](std::function<void()> work) { loop.post(std::move(work)); })
    {
        task = std::make_unique<Task>(
                loop, store, list, network,
                ConfigurationTaskOptions{.vmId = id,
                                         .incarnation = incarnation,
                                         .randomSeed = incarnation,
                                         .listInterval = 200ms},
                ConfigurationHandlers{.onConfiguration
                                      = [this](const schema::Configuration &newer, uint64_t) {
                                            configuration = newer;
                                            keys = KeyRing(newer.organisations());
                                        }});
        REQUIRE_FALSE(network.start());
        task->start();
    }

    [[nodiscard]] bool admits(std::string_view key) const
    {
        return task->isCurrent() && keys.findOrganisation(key).has_value();
    }
};

/// The platform's stand-ins (store, VM list) and the VMs of a test on one event loop.
struct FleetFixture
{
    http::EventLoop loop;
    standins::StoreGateway gateway{loop};
    standins::VmListService vmList{loop, Duration::zero()};
    http::Server storeServer{loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
                                 gateway.handle(exchange);
                             }};
    http::Server listServer{loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
                                vmList.handle(exchange);
                            }};
    std::unique_ptr<store::EtcdStore> operatorStore;
    std::vector<std::unique_ptr<Vm>> vms;
    uint64_t lastIncarnation = 1000;

    FleetFixture()
    {
        REQUIRE_FALSE(storeServer.listen());
        REQUIRE_FALSE(listServer.listen());
        operatorStore = std::make_unique<store::EtcdStore>(
                loop, http::Endpoint{.address = "127.0.0.1", .port = storeServer.port()}, 500ms);
    }

    void startVm(size_t index)
    {
        constexpr uint64_t idSpacing = 1U << 20U;
        vms.resize(std::max(vms.size(), index + 1));
        vms[index].reset();
        lastIncarnation += idSpacing;
        vms[index] = std::make_unique<Vm>(loop, "vm-" + std::to_string(index), lastIncarnation,
                                          storeServer.port(), listServer.port());
        publishList();
    }

    void publishList()
    {
        nlohmann::json list = nlohmann::json::array();
        for (size_t i = 0; i < vms.size(); ++i) {
            if (vms[i] != nullptr) {
                list.push_back({{"id", "vm-" + std::to_string(i)},
                                {"address", "127.0.0.1"},
                                {"peer_port", vms[i]->network.port()},
                                {"zone", "perth"},
                                {"state", "live"}});
            }
        }
        vmList.setList(list.dump());
    }

    template <typename Done>
    bool runUntil(Duration longest, Done done)
    {
        const Instant end = http::EventLoop::now() + longest;
        while (http::EventLoop::now() < end && !done()) {
            loop.startTimer(10ms, [this] { loop.stop(); });
            loop.run();
        }
        return done();
    }

    std::vector<schema::VersionedDocument> readAll()
    {
        std::vector<schema::VersionedDocument> documents;
        operatorStore->readPrefix(
                std::string(storePrefix) + "config/",
                [&](std::error_code error, const store::StoreSnapshot &snapshot) {
                    CHECK_FALSE(error);
                    for (const store::StoreEntry &entry : snapshot.entries) {
                        schema::VersionedDocument document;
                        document.set_name(
                                entry.key.substr((std::string(storePrefix) + "config/").size()));
                        document.set_revision(entry.revision);
                        CHECK(document.mutable_document()->ParseFromString(entry.value));
                        documents.push_back(std::move(document));
                    }
                    loop.stop();
                });
        loop.run();
        return documents;
    }

    store::StoreWriteResult write(std::span<const DocumentChange> changes)
    {
        std::vector<store::StoreWrite> writes;
        for (const DocumentChange &change : changes) {
            writes.push_back({
                    .key = std::string(storePrefix) + "config/" + change.name,
                    .value = change.after.has_value() ? change.after->SerializeAsString() : "",
                    .isDelete = !change.after.has_value(),
                    .expectedRevision = change.expectedRevision,
            });
        }
        store::StoreWriteResult result;
        operatorStore->write(writes, [&](store::StoreWriteResult answered) {
            result = answered;
            loop.stop();
        });
        loop.run();
        return result;
    }

    void apply(const schema::Configuration &desired, std::string_view changeId)
    {
        const std::vector<DocumentChange> changes = planChanges(readAll(), desired, changeId);
        REQUIRE(write(changes).outcome == store::StoreOutcome::Written);
    }

    bool allAdmit(std::string_view key)
    {
        return std::all_of(vms.begin(), vms.end(),
                           [key](const std::unique_ptr<Vm> &vm) { return vm->admits(key); });
    }

    bool noneAdmits(std::string_view key)
    {
        return std::none_of(vms.begin(), vms.end(),
                            [key](const std::unique_ptr<Vm> &vm) { return vm->admits(key); });
    }
};

NewKey makeKey(uint8_t fill)
{
    std::array<uint8_t, keyRandomBytes> bytes{};
    bytes.fill(fill);
    return createKey(bytes, 1);
}

schema::Configuration withKeys(std::initializer_list<NewKey> keys)
{
    schema::Configuration configuration;
    configuration.mutable_fleet()->mutable_defaults()->set_max_attempts(2);
    schema::Organisation &organisation = *configuration.add_organisations();
    organisation.set_name("kinloch");
    organisation.set_rate_tokens_per_s(100);
    organisation.set_burst_tokens(1000);
    for (const NewKey &key : keys) {
        *organisation.add_keys() = key.record;
    }
    return configuration;
}

} // namespace

TEST_CASE("all VMs reject a withdrawn key within 1 s")
{
    FleetFixture fleet;
    const NewKey kept = makeKey(1);
    const NewKey withdrawn = makeKey(2);
    fleet.apply(withKeys({kept, withdrawn}), "grant");
    for (size_t i = 0; i < 5; ++i) {
        fleet.startVm(i);
    }
    REQUIRE(fleet.runUntil(5s, [&] { return fleet.allAdmit(withdrawn.text); }));
    fleet.apply(withKeys({kept}), "withdraw");
    CHECK(fleet.runUntil(1s, [&] { return fleet.noneAdmits(withdrawn.text); }));
    CHECK(fleet.allAdmit(kept.text));
}

TEST_CASE("a VM that starts while the store is down gets the configuration from its peers")
{
    FleetFixture fleet;
    const NewKey key = makeKey(1);
    fleet.apply(withKeys({key}), "grant");
    for (size_t i = 0; i < 3; ++i) {
        fleet.startVm(i);
    }
    REQUIRE(fleet.runUntil(5s, [&] { return fleet.allAdmit(key.text); }));
    fleet.gateway.setFault("down");
    bool interrupted = false;
    fleet.runUntil(4s, [&] {
        interrupted = interrupted || !fleet.allAdmit(key.text);
        return false;
    });
    CHECK_FALSE(interrupted);
    fleet.startVm(2);
    CHECK_FALSE(fleet.vms[2]->admits(key.text));
    CHECK(fleet.runUntil(3s, [&] { return fleet.allAdmit(key.text); }));
}

TEST_CASE("an operator whose change conflicts with another is told what the other changed")
{
    FleetFixture fleet;
    fleet.apply(withKeys({}), "base");
    const std::vector<schema::VersionedDocument> before = fleet.readAll();
    schema::Configuration first = withKeys({});
    first.mutable_organisations(0)->set_rate_tokens_per_s(200);
    schema::Configuration second = withKeys({});
    second.mutable_organisations(0)->set_rate_tokens_per_s(300);
    const std::vector<DocumentChange> firstPlan = planChanges(before, first, "first");
    const std::vector<DocumentChange> secondPlan = planChanges(before, second, "second");
    fleet.gateway.setFault("lose_answers");
    CHECK(fleet.write(firstPlan).outcome == store::StoreOutcome::Unknown);
    fleet.gateway.setFault("none");
    CHECK(fleet.write(secondPlan).outcome == store::StoreOutcome::Conflict);
    const std::vector<schema::VersionedDocument> after = fleet.readAll();
    CHECK(resolveUncertainWrite(firstPlan, after, "first").outcome == ChangeOutcome::Committed);
    const ChangeResolution loser = resolveUncertainWrite(secondPlan, after, "second");
    CHECK(loser.outcome == ChangeOutcome::Conflict);
    CHECK(loser.conflictDiff.find("200") != std::string::npos);
}

} // namespace teaseldrift::fleet
