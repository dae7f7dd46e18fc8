package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats one process's JSON status as lines for operators, and lists problems together with the
 * recommended actions. An instance formats one status, for {@link StatusCommand}: each section is
 * added, and then the lines are read.
 */
final class FleetStatusReport {

    /** Maximum number of member names in a line. */
    private static final int MAX_NAMES = 5;

    private final List<String> lines = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    /** The lines that describe the fleet, in the order in which the sections were added. */
    List<String> lines() {
        return lines;
    }

    /** The problems, each with the recommended action; empty if there are none. */
    List<String> problems() {
        return problems;
    }

    /** Adds the membership from the response to {@code members}. */
    void addMembership(JsonNode view) {
        lines.add(MembersCommand.heading(view));
        addMemberStates(view.path("members"));
        if (view.path("other").asInt() > 0) {
            problems.add(
                    view.path("other").asInt()
                            + " members see another view. If it stays for 30 s, the"
                            + " network is cut: compare 'fleet members' of both sides.");
        }
        if (!view.path("majority").asBoolean()) {
            problems.add(
                    "no majority of the last agreed view of "
                            + view.path("agreed").asInt()
                            + ": this side"
                            + " inherits no shares of the others. Look for the larger one.");
        }
        if (view.path("health").asInt() > 0) {
            problems.add(
                    "this process is slow or hears little (health "
                            + view.path("health").asInt()
                            + "): look at its cores and its network.");
        }
        if (view.path("superseded").asBoolean()) {
            problems.add(
                    "another process of this name is the member now: an upgrade, or two of one"
                            + " name.");
        }
    }

    private void addMemberStates(JsonNode members) {
        Map<String, Integer> countByVersion = new TreeMap<>();
        List<String> suspect = new ArrayList<>();
        List<String> dead = new ArrayList<>();
        for (JsonNode member : members) {
            String name = member.path("name").asText();
            switch (member.path("state").asText()) {
                case "alive" ->
                        countByVersion.merge(member.path("version").asText("?"), 1, Integer::sum);
                case "suspect" -> suspect.add(name);
                case "dead" -> dead.add(name);
                default -> {
                    // The member left the fleet in a graceful shutdown, which is not a problem.
                }
            }
        }
        lines.add("versions: " + countByVersion);
        if (!suspect.isEmpty()) {
            lines.add("suspect: " + abbreviated(suspect));
        }
        if (!dead.isEmpty()) {
            problems.add(
                    "dead without a word: "
                            + abbreviated(dead)
                            + ". Look whether they run; they are forgotten after 10 minutes.");
        }
    }

    /** Adds the state shared between processes from the response to {@code shared}. */
    void addSharedState(JsonNode shared) {
        if (shared.isEmpty()) {
            lines.add("shares nothing");
            return;
        }
        JsonNode observations = shared.path("sightings");
        lines.add(
                String.format(
                        Locale.ROOT,
                        "shares: %d sightings, the oldest used was %.1f s old (bound %.0f); held"
                                + " back: %s",
                        observations.path("held").asInt(),
                        observations.path("oldest_used_ms").asDouble() / 1000,
                        observations.path("bound_ms").asDouble() / 1000,
                        shared.path("ailing")));
        shared.path("allowances")
                .properties()
                .forEach(quota -> lines.add(quotaLine(quota.getKey(), quota.getValue())));
        addSharingProblems(shared);
        if (!shared.path("release").isMissingNode()) {
            addRollout(shared.path("release"));
        }
    }

    private static String quotaLine(String tenant, JsonNode quota) {
        return String.format(
                Locale.ROOT,
                "allowance of %s: %.1f a second here (even part %.1f, lent %.1f, borrowed %.1f)",
                tenant,
                quota.path("rate").asDouble(),
                quota.path("even").asDouble(),
                quota.path("lent").asDouble(),
                quota.path("borrowed").asDouble());
    }

    private void addSharingProblems(JsonNode shared) {
        if (shared.path("advice_age_ms").asLong() > shared.path("advice_bound_ms").asLong()) {
            problems.add(
                    "the last advice is "
                            + shared.path("advice_age_ms").asLong()
                            + " ms old, past its bound: this process goes by its own eyes."
                            + " It is starved of its core.");
        }
        long rejected =
                shared.path("sightings").path("refused").asLong()
                        + shared.path("loans_refused").asLong()
                        + shared.path("unreadable").asLong();
        if (rejected > 0) {
            problems.add(
                    rejected
                            + " times a peer told what cannot be true or read: one of them is in"
                            + " error, or of a version that this one does not know. The log of each"
                            + " tells its own version.");
        }
    }

    private void addRollout(JsonNode rollout) {
        lines.add(
                String.format(
                        Locale.ROOT,
                        "release %s: %s, %.1f %% of the calls to %s: %s",
                        rollout.path("name").asText(),
                        rollout.path("phase").asText(),
                        rollout.path("part").asDouble() * 100,
                        rollout.path("servers"),
                        rollout.path("why").asText()));
        boolean done = rollout.path("phase").asText().equals("done");
        if (!done && rollout.path("age_ms").asLong() > rollout.path("bound_ms").asLong()) {
            problems.add(
                    "no conductor has told of the release for "
                            + rollout.path("age_ms").asLong() / 1000
                            + " s: the new version gets nothing here. Start one: fleet release"
                            + " start.");
        }
    }

    /** Adds the leases from the response to {@code duties}. */
    void addLeases(JsonNode status) {
        if (status.isEmpty()) {
            lines.add("wants no duties");
            return;
        }
        if (status.has("keeper") && status.path("leader").asText().isEmpty()) {
            problems.add(
                    "this keeper knows no leader: duties stand still until a majority of the"
                            + " keepers is back. See docs/operations.md for the way out.");
        }
        status.path("duties")
                .properties()
                .forEach(lease -> lines.add(leaseLine(lease.getKey(), lease.getValue())));
    }

    private static String leaseLine(String role, JsonNode lease) {
        return "duty " + role + ": " + holder(lease) + ", token " + lease.path("token").asLong();
    }

    private static String holder(JsonNode lease) {
        if (lease.path("mine").asBoolean()) {
            return "this process";
        }
        String holder = lease.path("holder").asText();
        return holder.isEmpty() ? "nobody" : holder;
    }

    private static String abbreviated(List<String> names) {
        String first = String.join(", ", names.subList(0, Math.min(MAX_NAMES, names.size())));
        int omitted = names.size() - MAX_NAMES;
        return omitted > 0 ? first + " and " + omitted + " more" : first;
    }
}
