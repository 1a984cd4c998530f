#include "tests/wire/faulty_backend.hpp"

#include <utility>

namespace siskinusher::standins
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned events_of_stream = 6;

} // namespace

faulty_backend::faulty_backend(store_standin& store, fault_spans& spans, std::string name,
                               std::string service, std::set<std::string> models,
                               std::optional<std::uint64_t> copy_seed)
    : engine_(!models.empty()), spans_(spans),
      server_(store, std::move(name), std::move(service), std::move(models)),
      copier_(copy_seed ? std::make_unique<answer_copier>(server_.address(), *copy_seed) : nullptr),
      link_("link " + server_.name(), copier_ ? copier_->address() : server_.address(), spans)
{
    server_.publish_address(link_.address());
}

void faulty_backend::set_fault(backend_fault fault)
{
    // A rejection proves that the request did not run, and another server can take it.
    bool const breaks_answers = fault != backend_fault::none && fault != backend_fault::rejects;
    if (breaks_answers)
    {
        spans_.begin("backend " + server_.name());
    }
    server_.set_fault(fault);
    if (!breaks_answers)
    {
        spans_.end("backend " + server_.name());
    }
}

void faulty_backend::set_load(random_source& random)
{
    end_load();
    auto const kind = random.below(3);
    if (kind == 0 && engine_)
    {
        server_.set_pause(1 + static_cast<unsigned>(random.below(events_of_stream)),
                          milliseconds{300 + random.below(1700)});
    }
    else if (kind == 0)
    {
        server_.set_work_time(milliseconds{300 + random.below(1200)});
    }
    else if (kind == 1)
    {
        server_.set_reject_every(2 + static_cast<unsigned>(random.below(2)));
    }
}

void faulty_backend::change_name()
{
    if (!server_.remove_earlier_entries())
    {
        server_.start_again_as(server_.name() + "-" + std::to_string(++names_));
    }
}

void faulty_backend::end_load()
{
    server_.set_pause(0, milliseconds{0});
    server_.set_work_time(milliseconds{1});
    server_.set_reject_every(0);
}

void faulty_backend::heal()
{
    link_.heal();
    set_fault(backend_fault::none);
    end_load();
    (void)server_.remove_earlier_entries();
    server_.write_entry("ready");
}

} // namespace siskinusher::standins
