#include "teaseldrift/store/store.hpp"

namespace teaseldrift::store {

namespace {

class StoreErrorCategory : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "store"; }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<StoreError>(value)) {
        case StoreError::Unavailable:
            return "the store does not answer";
        case StoreError::Compacted:
            return "the store no longer keeps the changes asked for";
        case StoreError::LeaseExpired:
            return "the lease has ended";
        case StoreError::Malformed:
            return "the call or its answer cannot be read";
        }
        return "unknown store error";
    }
};

} // namespace

std::error_code make_error_code(StoreError error)
{
    static const StoreErrorCategory category;
    return {static_cast<int>(error), category};
}

} // namespace teaseldrift::store
