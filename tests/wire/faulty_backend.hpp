#pragma once

#include "core/random_source.hpp"
#include "tests/wire/answer_copier.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/faulty_link.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinusher::standins
{

/// A backend server behind a link, with the faults of both. Records the span "backend NAME" while it has a
/// fault that breaks answers, and "link NAME". Answers too many excuse nothing, so they have no span.
class faulty_backend
{
public:
    /// With `copy_seed`, answers too many are written between the server and the link.
    faulty_backend(store_standin& store, fault_spans& spans, std::string name, std::string service,
                   std::set<std::string> models, std::optional<std::uint64_t> copy_seed);

    backend_standin& server() { return server_; }
    faulty_link& link() { return link_; }
    answer_copier const* copier() const { return copier_.get(); } ///< Null without a seed.

    void set_fault(backend_fault fault);
    /// Makes the sound server slow (a stream pauses for 0.3 to 2 s after one event, a plain call takes 0.3 to
    /// 1.5 s), has it reject some requests as full, or neither.
    void set_load(random_source& random);
    /// Starts the server under a new name while the entry of the old one stays, or removes that entry.
    void change_name();
    /// Ends all faults of the server and the link.
    void heal();

private:
    void end_load();

    bool const engine_;
    fault_spans& spans_;
    backend_standin server_;
    std::unique_ptr<answer_copier> const copier_; ///< Null for none.
    faulty_link link_;
    unsigned names_ = 1; ///< That the server has had.
};

} // namespace siskinusher::standins
