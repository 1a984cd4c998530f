#pragma once

#include "adapters/field_codec.hpp"
#include "domain/peer_message.hpp"
#include "domain/store_call.hpp"

#include <tuple>

/// The wire order and the JSON names of the fields of everything that value_codec encodes.
namespace siskinusher::field_codec
{

template <>
struct last_of<rank>
{
    static constexpr rank value = rank::background;
};
template <>
struct last_of<order_kind>
{
    static constexpr order_kind value = order_kind::unload_adapter;
};
template <>
struct last_of<listed_kind>
{
    static constexpr listed_kind value = listed_kind::service;
};
template <>
struct last_of<listed_state>
{
    static constexpr listed_state value = listed_state::leaving;
};
template <>
struct last_of<checkpoint_tier>
{
    static constexpr checkpoint_tier value = checkpoint_tier::remote;
};
template <>
struct last_of<call_state>
{
    static constexpr call_state value = call_state::abandoned;
};
template <>
struct last_of<call_start_outcome>
{
    static constexpr call_start_outcome value = call_start_outcome::unavailable;
};

template <>
struct layout<instance_id>
{
    static constexpr auto fields =
        std::make_tuple(field{"name", &instance_id::name}, field{"incarnation", &instance_id::incarnation});
};
template <>
struct layout<intent>
{
    static constexpr auto fields = std::make_tuple(
        field{"id", &intent::id}, field{"issuer", &intent::issuer}, field{"engine", &intent::engine},
        field{"kind", &intent::kind}, field{"subject", &intent::subject}, field{"bytes", &intent::bytes});
};
template <>
struct layout<engine_report>
{
    static constexpr auto fields = std::make_tuple(
        field{"name", &engine_report::name}, field{"boot_id", &engine_report::boot_id},
        field{"revision", &engine_report::revision}, field{"leaving", &engine_report::leaving},
        field{"memory_bytes", &engine_report::memory_bytes},
        field{"prefix_cache_bytes", &engine_report::prefix_cache_bytes},
        field{"import_bytes", &engine_report::import_bytes}, field{"places", &engine_report::places},
        field{"running", &engine_report::running}, field{"waiting", &engine_report::waiting},
        field{"models", &engine_report::models}, field{"adapters", &engine_report::adapters},
        field{"counts_use", &engine_report::counts_use}, field{"in_use", &engine_report::in_use},
        field{"checkpoints", &engine_report::checkpoints});
};
template <>
struct layout<data_centre_record>
{
    static constexpr auto fields = std::make_tuple(
        field{"holder", &data_centre_record::holder}, field{"epoch", &data_centre_record::epoch},
        field{"confirmed", &data_centre_record::confirmed}, field{"pending", &data_centre_record::pending},
        field{"intents", &data_centre_record::intents},
        field{"write_nonce", &data_centre_record::write_nonce});
};
template <>
struct layout<quota_row>
{
    static constexpr auto fields =
        std::make_tuple(field{"granted", &quota_row::granted}, field{"wanted", &quota_row::wanted});
};
template <>
struct layout<quota_record>
{
    static constexpr auto fields =
        std::make_tuple(field{"rows", &quota_record::rows}, field{"write_nonce", &quota_record::write_nonce});
};
template <>
struct layout<call_entry>
{
    static constexpr auto fields = std::make_tuple(
        field{"key", &call_entry::key}, field{"body_digest", &call_entry::body_digest},
        field{"nonce", &call_entry::nonce}, field{"state", &call_entry::state},
        field{"status", &call_entry::status}, field{"content_type", &call_entry::content_type},
        field{"body", &call_entry::body}, field{"body_kept", &call_entry::body_kept});
};
template <>
struct layout<call_segment>
{
    static constexpr auto fields =
        std::make_tuple(field{"entries", &call_segment::entries}, field{"sealed", &call_segment::sealed},
                        field{"sealed_at_s", &call_segment::sealed_at_s},
                        field{"first_segment", &call_segment::first_segment},
                        field{"write_nonce", &call_segment::write_nonce});
};
template <>
struct layout<config_object>
{
    static constexpr auto fields =
        std::make_tuple(field{"generation", &config_object::generation}, field{"text", &config_object::text});
};
template <>
struct layout<heartbeat>
{
    static constexpr auto fields = std::make_tuple(
        field{"data_centre", &heartbeat::data_centre},
        field{"config_generation", &heartbeat::config_generation},
        field{"lease_epoch", &heartbeat::lease_epoch}, field{"lease_holder", &heartbeat::lease_holder},
        field{"draining", &heartbeat::draining}, field{"knows_store", &heartbeat::knows_store});
};
template <>
struct layout<engine_reports>
{
    static constexpr auto fields = std::make_tuple(field{"reports", &engine_reports::reports});
};
template <>
struct layout<data_centre_summary>
{
    static constexpr auto fields = std::make_tuple(field{"data_centre", &data_centre_summary::data_centre},
                                                   field{"sequence", &data_centre_summary::sequence},
                                                   field{"free_places", &data_centre_summary::free_places});
};
template <>
struct layout<load_request>
{
    static constexpr auto fields = std::make_tuple(
        field{"model", &load_request::model}, field{"adapter", &load_request::adapter},
        field{"highest_rank", &load_request::highest_rank},
        field{"nearest_deadline", &load_request::nearest_deadline}, field{"waiting", &load_request::waiting});
};
template <>
struct layout<promise_request>
{
    static constexpr auto fields =
        std::make_tuple(field{"epoch", &promise_request::epoch}, field{"round", &promise_request::round},
                        field{"intents", &promise_request::intents});
};
template <>
struct layout<promise_reply>
{
    static constexpr auto fields =
        std::make_tuple(field{"epoch", &promise_reply::epoch}, field{"round", &promise_reply::round},
                        field{"promised", &promise_reply::promised});
};
template <>
struct layout<relay_write>
{
    static constexpr auto fields =
        std::make_tuple(field{"round", &relay_write::round}, field{"expected", &relay_write::expected},
                        field{"record", &relay_write::record});
};
template <>
struct layout<relay_result>
{
    static constexpr auto fields =
        std::make_tuple(field{"round", &relay_result::round}, field{"written", &relay_result::written},
                        field{"version", &relay_result::version});
};
template <>
struct layout<intent_settled>
{
    static constexpr auto fields = std::make_tuple(field{"intent_ids", &intent_settled::intent_ids});
};
template <>
struct layout<config_fetch>
{
    static constexpr auto fields = std::make_tuple(field{"have_generation", &config_fetch::have_generation});
};
template <>
struct layout<config_text>
{
    static constexpr auto fields = std::make_tuple(field{"object", &config_text::object});
};
template <>
struct layout<record_begin>
{
    static constexpr auto fields =
        std::make_tuple(field{"tag", &record_begin::tag}, field{"entry", &record_begin::entry});
};
template <>
struct layout<record_finish>
{
    static constexpr auto fields =
        std::make_tuple(field{"tag", &record_finish::tag}, field{"entry", &record_finish::entry});
};
template <>
struct layout<record_result>
{
    static constexpr auto fields =
        std::make_tuple(field{"tag", &record_result::tag}, field{"outcome", &record_result::outcome},
                        field{"entry", &record_result::entry});
};
template <>
struct layout<suspect_announce>
{
    static constexpr auto fields = std::make_tuple(field{"fingerprints", &suspect_announce::fingerprints},
                                                   field{"server", &suspect_announce::server},
                                                   field{"boot_id", &suspect_announce::boot_id});
};
template <>
struct layout<suspect_permit_request>
{
    static constexpr auto fields = std::make_tuple(field{"fingerprint", &suspect_permit_request::fingerprint},
                                                   field{"tag", &suspect_permit_request::tag});
};
template <>
struct layout<suspect_permit_reply>
{
    static constexpr auto fields = std::make_tuple(
        field{"fingerprint", &suspect_permit_reply::fingerprint}, field{"tag", &suspect_permit_reply::tag},
        field{"granted", &suspect_permit_reply::granted}, field{"named", &suspect_permit_reply::confirmed});
};
template <>
struct layout<suspect_cleared>
{
    static constexpr auto fields = std::make_tuple(field{"fingerprint", &suspect_cleared::fingerprint});
};
template <>
struct layout<crash_confirmed>
{
    static constexpr auto fields = std::make_tuple(field{"fingerprint", &crash_confirmed::fingerprint});
};
template <>
struct layout<listed_server>
{
    static constexpr auto fields = std::make_tuple(
        field{"name", &listed_server::name}, field{"address", &listed_server::address},
        field{"peer_address", &listed_server::peer_address}, field{"kind", &listed_server::kind},
        field{"data_centre", &listed_server::data_centre}, field{"pool", &listed_server::pool},
        field{"state", &listed_server::state}, field{"checks_epoch", &listed_server::checks_epoch});
};
template <>
struct layout<server_list>
{
    static constexpr auto fields = std::make_tuple(field{"servers", &server_list::servers});
};
template <>
struct layout<backend_leaving>
{
    static constexpr auto fields = std::make_tuple(field{"server", &backend_leaving::server},
                                                   field{"boot_id", &backend_leaving::boot_id});
};

} // namespace siskinusher::field_codec
