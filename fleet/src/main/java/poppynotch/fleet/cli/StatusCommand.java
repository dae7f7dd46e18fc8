package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * One screen of a fleet as one process knows it: who, what is shared, duties, a release, what is
 * wrong.
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows on one screen what a process knows of its fleet, what is wrong, and what to do.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:nothing is wrong",
            "1:the process gave no answer",
            "2:the command line is wrong",
            "3:something is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  fleet status --door 127.0.0.1:9100"})
final class StatusCommand extends AdminRequest {

    private static final int WRONG = 3;
    private static final int MOST_NAMED = 5;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> lines = new ArrayList<>();

    /** What is wrong, each with what to do. */
    private final List<String> wrong = new ArrayList<>();

    @Option(names = "--json", description = "For machines: all that was asked, and what is wrong.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JsonNode members = door().ask("members");
        JsonNode shared = optional("shared");
        JsonNode duties = optional("duties");
        members(members);
        shared(shared);
        duties(duties);
        if (json) {
            ObjectNode all = JSON.createObjectNode();
            all.set("members", members);
            all.set("shared", shared);
            all.set("duties", duties);
            ArrayNode faults = all.putArray("wrong");
            wrong.forEach(faults::add);
            out().println(all.toPrettyString());
        } else {
            lines.forEach(out()::println);
            out().println(wrong.isEmpty() ? "nothing is wrong" : "WRONG:");
            wrong.forEach(line -> out().println("  - " + line));
        }
        out().flush();
        return wrong.isEmpty() ? 0 : WRONG;
    }

    /** What a process that does not take part in something has no answer for. */
    private JsonNode optional(String call) throws IOException {
        try {
            return door().ask(call);
        } catch (IOException e) {
            if (e.getMessage() != null && e.getMessage().contains("says: error")) {
                return JSON.createObjectNode();
            }
            throw e;
        }
    }

    private void members(JsonNode view) {
        lines.add(MembersCommand.head(view));
        Map<String, Integer> versions = new TreeMap<>();
        List<String> suspect = new ArrayList<>();
        List<String> dead = new ArrayList<>();
        for (JsonNode member : view.path("members")) {
            String name = member.path("name").asText();
            switch (member.path("state").asText()) {
                case "alive" -> versions.merge(member.path("version").asText("?"), 1, Integer::sum);
                case "suspect" -> suspect.add(name);
                case "dead" -> dead.add(name);
                default -> {
                    // Left by its own word: nothing is wrong with that.
                }
            }
        }
        lines.add("versions: " + versions);
        if (!suspect.isEmpty()) {
            lines.add("suspect: " + few(suspect));
        }
        if (!dead.isEmpty()) {
            wrong.add(
                    "dead without a word: "
                            + few(dead)
                            + ". Look whether they run; they are forgotten after 10 minutes.");
        }
        if (view.path("other").asInt() > 0) {
            wrong.add(
                    view.path("other").asInt()
                            + " members see another view. If it stays for 30 s, the"
                            + " network is cut: compare 'fleet members' of both sides.");
        }
        if (!view.path("majority").asBoolean()) {
            wrong.add(
                    "no majority of the last agreed view of "
                            + view.path("agreed").asInt()
                            + ": this side"
                            + " inherits no shares of the others. Look for the larger one.");
        }
        if (view.path("health").asInt() > 0) {
            wrong.add(
                    "this process is slow or hears little (health "
                            + view.path("health").asInt()
                            + "): look at its cores and its network.");
        }
        if (view.path("superseded").asBoolean()) {
            wrong.add(
                    "another process of this name is the member now: an upgrade, or two of one name.");
        }
    }

    private void shared(JsonNode shared) {
        if (shared.isEmpty()) {
            lines.add("shares nothing");
            return;
        }
        JsonNode sightings = shared.path("sightings");
        lines.add(
                String.format(
                        Locale.ROOT,
                        "shares: %d sightings, the oldest used was %.1f s old (bound %.0f); held back: %s",
                        sightings.path("held").asInt(),
                        sightings.path("oldest_used_ms").asDouble() / 1000,
                        sightings.path("bound_ms").asDouble() / 1000,
                        shared.path("ailing")));
        shared.path("allowances")
                .fields()
                .forEachRemaining(
                        tenant ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "allowance of %s: %.1f a second here (even part %.1f, lent %.1f, borrowed %.1f)",
                                                tenant.getKey(),
                                                tenant.getValue().path("rate").asDouble(),
                                                tenant.getValue().path("even").asDouble(),
                                                tenant.getValue().path("lent").asDouble(),
                                                tenant.getValue().path("borrowed").asDouble())));
        if (shared.path("advice_age_ms").asLong() > shared.path("advice_bound_ms").asLong()) {
            wrong.add(
                    "the last advice is "
                            + shared.path("advice_age_ms").asLong()
                            + " ms old, past its bound: this process goes by its own eyes. It is starved of its core.");
        }
        long refused =
                sightings.path("refused").asLong()
                        + shared.path("loans_refused").asLong()
                        + shared.path("unreadable").asLong();
        if (refused > 0) {
            wrong.add(
                    refused
                            + " times a peer told what cannot be true or read: one of them is in error, or"
                            + " of a version that this one does not know. The log of each tells its own version.");
        }
        JsonNode release = shared.path("release");
        if (!release.isMissingNode()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "release %s: %s, %.1f %% of the calls to %s: %s",
                            release.path("name").asText(),
                            release.path("phase").asText(),
                            release.path("part").asDouble() * 100,
                            release.path("servers"),
                            release.path("why").asText()));
            boolean over = release.path("phase").asText().equals("done");
            if (!over && release.path("age_ms").asLong() > release.path("bound_ms").asLong()) {
                wrong.add(
                        "no conductor has told of the release for "
                                + release.path("age_ms").asLong() / 1000
                                + " s: the new version gets nothing here. Start one: fleet release start.");
            }
        }
    }

    private void duties(JsonNode duties) {
        if (duties.isEmpty()) {
            lines.add("wants no duties");
            return;
        }
        if (duties.has("keeper") && duties.path("leader").asText().isEmpty()) {
            wrong.add(
                    "this keeper knows no leader: duties stand still until a majority of the keepers is"
                            + " back. See docs/operations.md for the way out.");
        }
        duties.path("duties")
                .fields()
                .forEachRemaining(
                        duty -> {
                            boolean mine = duty.getValue().path("mine").asBoolean();
                            String holder = duty.getValue().path("holder").asText();
                            lines.add(
                                    "duty "
                                            + duty.getKey()
                                            + ": "
                                            + (mine
                                                    ? "this process"
                                                    : holder.isEmpty() ? "nobody" : holder)
                                            + ", token "
                                            + duty.getValue().path("token").asLong());
                        });
    }

    private static String few(List<String> names) {
        return String.join(", ", names.subList(0, Math.min(MOST_NAMED, names.size())))
                + (names.size() > MOST_NAMED
                        ? " and " + (names.size() - MOST_NAMED) + " more"
                        : "");
    }
}
