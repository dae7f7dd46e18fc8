#!/bin/sh
# draw.sh SEED [ENTRIES]: writes a day file that mixes kinds of trouble, each with any of its variants, at any moment and more than once.
# The kinds and variants are those that the bench lists; nothing in a day names a service, a zone or a machine.
[ $# -gt 0 ] || { echo "usage: draw.sh SEED [ENTRIES]" >&2; exit 2; }
awk -v seed="$1" -v most="${2:-8}" '
function pick(list,   parts, n) { n = split(list, parts, "|"); return parts[1 + int(rand() * n)] }
function number(low, high) { return sprintf("%.1f", low + rand() * (high - low)) }
function entry(kind,   at, how, text) {
    at = number(2, 26)
    text = "{ at = " at ", kind = \"" kind "\""
    if (kind in length_s) text = text ", for_s = " number(0.5, pick(length_s[kind]))
    if (kind in part) text = text ", share = " number(0.1, part[kind])
    if (kind in strength) text = text ", x = " number(strength_low[kind], strength[kind])
    if (kind in times) text = text ", count = " 1 + int(rand() * times[kind])
    if (kind in where) { how = pick(where[kind]); if (how != "") text = text ", on = \"" how "\"" }
    if (kind in variants) { how = pick(variants[kind]); if (how != "") text = text ", how = \"" how "\"" }
    return text " }"
}
BEGIN {
    srand(seed)
    planned = "release|roll_term|seed_turnover|config_change|config_storm|config_race|bad_config|big_config|revoke|replace_core|hup|scale_out|scale_in|replace_with_reuse"
    faulty = "burst|hot_tenant|srv_crash|answer_lost|garble|node_kill|node_freeze|herd_kill|after_ack_kill|after_ack_wipe|disk_slow|core_cut|ack_lost|retry_abuse|give_up|srv_slow|srv_grey|srv_cut|node_slow|disk_full|disk_stall|clock_step|reset_conns|node_cut"
    length_s["burst"] = length_s["hot_tenant"] = length_s["srv_crash"] = length_s["answer_lost"] = length_s["garble"] = "6|9"
    length_s["node_kill"] = length_s["node_freeze"] = length_s["after_ack_kill"] = length_s["after_ack_wipe"] = "2|6"
    length_s["disk_slow"] = length_s["disk_full"] = length_s["disk_stall"] = length_s["core_cut"] = length_s["node_cut"] = "3|8|20"
    length_s["ack_lost"] = length_s["config_storm"] = length_s["srv_slow"] = length_s["srv_grey"] = length_s["srv_cut"] = "5|10"
    length_s["clock_step"] = length_s["node_slow"] = length_s["retry_abuse"] = length_s["give_up"] = "6"
    part["srv_crash"] = part["release"] = part["scale_out"] = part["scale_in"] = part["replace_with_reuse"] = part["srv_grey"] = part["srv_slow"] = part["srv_cut"] = 0.4
    part["node_cut"] = part["node_kill"] = part["node_freeze"] = part["node_slow"] = 0.5
    part["reset_conns"] = part["hup"] = part["clock_step"] = part["herd_kill"] = part["garble"] = part["answer_lost"] = part["roll_term"] = part["retry_abuse"] = part["give_up"] = 1
    strength["burst"] = 3; strength_low["burst"] = 1.5
    strength["hot_tenant"] = 8; strength_low["hot_tenant"] = 2
    strength["disk_slow"] = 60; strength_low["disk_slow"] = 10
    times["config_race"] = times["bad_config"] = times["revoke"] = 6
    times["big_config"] = 300
    where["node_kill"] = where["node_freeze"] = where["herd_kill"] = where["roll_term"] = where["node_cut"] = "|core"
    variants["srv_crash"] = "|dark|gone|domain|all"
    variants["garble"] = "|extra|unframed|early"
    variants["node_kill"] = variants["herd_kill"] = "|power"
    variants["node_freeze"] = "|leader|turn|leader meet|race drain"
    variants["roll_term"] = "|busy"
    variants["after_ack_kill"] = "|kill|timed|timed kill"
    variants["after_ack_wipe"] = "|oldest"
    variants["core_cut"] = "|behind|split|all|near|oldest|one_way|seeds|both|lure|relieve|leader race|one_way meet drain|refuse both hard|reset"
    variants["config_change"] = "route|weights|timeout|tenant|quota|idle|quota down"
    variants["bad_config"] = "cut_short|unknown_service|same_place|no_weight|no_timeout|old_version|same_version|stale_match|shared_key"
    variants["srv_grey"] = "errors|shed|busy|hang|reset|mute"
    variants["srv_cut"] = "|fronts|some|one_way|reset"
    variants["replace_with_reuse"] = "|drain|dark"
    variants["scale_in"] = "|spot"
    variants["replace_core"] = "|oldest|planned|planned oldest"
    variants["clock_step"] = "back|ahead"
    variants["node_cut"] = "|all|servers"
    count = 2 + int(rand() * (most - 1))
    for (i = 0; i < count; i++) {
        if (rand() < 0.35) plan = plan "  " entry(pick(planned)) ",\n"
        else faults = faults "  " entry(pick(faulty)) ",\n"
    }
    print "[[day]]\nname = \"drawn-" seed "\"\nslot = \"trouble\"\nseed = " 5000 + seed
    closing = pick("|power_off_all|kill_all|wipe_after_ack")
    if (closing != "") print "closing = { kind = \"" closing "\", down_s = 1.0, how = \"" pick("|timed") "\" }"
    print "plan = [\n" plan "]\nfaults = [\n" faults "]"
}'
