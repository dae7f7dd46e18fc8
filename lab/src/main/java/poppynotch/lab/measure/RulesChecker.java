package poppynotch.lab.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.ServerState;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Answer.Kind;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.Time;
import poppynotch.lab.world.WorldListener;

/**
 * Judges by the four rules, from what callers, nodos and discovery see. A broken rule names
 * request, nodo and time.
 */
public final class RulesChecker implements WorldListener {

    /** The rules. */
    public enum Rule {
        /** A request that a sidecar has taken gets one true answer in time. */
        LOST,
        /**
         * What may have run is sent again only where the class allows it, and never twice at once.
         */
        DUPLICATED,
        /** Nothing new goes to a nodo some time after the news that it drains or is gone. */
        DRAINED,
        /** No cold nodo is made to fall over by those who know that it is cold. */
        COLD,
        /** No sidecar ends by itself. */
        CRASHED
    }

    /** A broken rule: {@code request} or {@code nodo} is empty where the rule has none. */
    public record Broken(Rule rule, String request, String nodo, double atMs, String why) {}

    /** So many of each rule are kept with their names; the rest is counted. */
    private static final int MOST_KEPT = 20;

    /**
     * The end of an attempt may be seen so long after the start of the next one, on another
     * connection.
     */
    private static final double ORDER_SLACK_MS = 50;

    /** The rule on cold nodos is broken where those who knew of the start sent this part. */
    private static final double INFORMED_SHARE = 2.0 / 3;

    private static final class Seen {
        final ModelServer nodo;
        final double at;
        boolean out = true;
        End end;

        Seen(ModelServer nodo, double at) {
            this.nodo = nodo;
            this.at = at;
        }
    }

    private final Experiment experiment;
    private final Time time;
    private final double slackMs;
    private final double sightMs;
    private double begunAt;
    private final Map<String, List<Seen>> attempts = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();

    /** When each sidecar was told that a nodo wants nothing new. */
    private final Map<Integer, Map<String, Double>> unwanted = new HashMap<>();

    private final List<Broken> broken = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * A checker for one day.
     *
     * @param slackMs after its deadline, an answer is late by more than this only if it is lost
     * @param sightMs how much later than it happened something may be seen here
     */
    public RulesChecker(Experiment experiment, Time time, double slackMs, double sightMs) {
        this.experiment = experiment;
        this.time = time;
        this.slackMs = slackMs;
        this.sightMs = sightMs;
    }

    /** Times are told from here on. */
    public void begin(double now) {
        begunAt = now;
    }

    /** What was broken, in order; of each rule the first ones. */
    public List<Broken> broken() {
        return List.copyOf(broken);
    }

    /** How often each rule was broken. */
    public Map<Rule, Integer> counts() {
        return counts;
    }

    private void breaks(Rule rule, double now, String request, String nodo, String why) {
        if (counts.merge(rule, 1, Integer::sum) <= MOST_KEPT) {
            broken.add(new Broken(rule, request, nodo, now - begunAt, why));
        }
    }

    private RequestClass classOf(Call call) {
        return experiment.world().classes().get(call.first.kind);
    }

    private List<Seen> mayHaveRun(Call call) {
        return attempts.getOrDefault(call.id, List.of()).stream()
                .filter(seen -> seen.end != End.TURNED_AWAY)
                .toList();
    }

    @Override
    public void answered(double now, Call call, Answer answer) {
        boolean up = !down.contains(call.sidecar);
        if (answer.kind() == Kind.BROKEN && call.taken && up) {
            breaks(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " closed the connection without an answer");
        } else if (answer.kind() == Kind.FALSE) {
            breaks(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " answered what no nodo made for it");
        } else if (answer.kind() == Kind.REFUSED) {
            boolean harmless =
                    classOf(call).effect() == Idempotency.REPEATABLE
                            || classOf(call).effect() == Idempotency.BY_KEY
                                    && classOf(call).group() == DeduplicationScope.ALL;
            List<Seen> ran = mayHaveRun(call);
            if (!harmless && !ran.isEmpty()) {
                breaks(
                        Rule.DUPLICATED,
                        now,
                        call.id,
                        ran.get(0).nodo.id,
                        "was refused, though it may have run");
            }
        }
        attempts.remove(call.id);
    }

    @Override
    public void left(double now, Call call) {
        if (call.taken && !down.contains(call.sidecar) && now >= call.deadline + slackMs - 1e-6) {
            breaks(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " gave no answer in time");
        }
        attempts.remove(call.id);
    }

    @Override
    public void arrived(double now, Call call, ModelServer nodo, int attempt) {
        if (call.over) {
            // Sent before its end, and judged with that.
            return;
        }
        List<Seen> before = attempts.computeIfAbsent(call.id, id -> new ArrayList<>(2));
        RequestClass kind = classOf(call);
        Seen mine = new Seen(nodo, now);
        for (Seen seen : before) {
            if (seen.out) {
                time.after(
                        ORDER_SLACK_MS,
                        () -> {
                            if (seen.out && mine.out) {
                                breaks(
                                        Rule.DUPLICATED,
                                        now,
                                        call.id,
                                        nodo.id,
                                        "was out at " + seen.nodo.id + " at once");
                            }
                        });
            }
        }
        Seen ran =
                before.stream()
                        .filter(seen -> seen.end != End.TURNED_AWAY)
                        .findFirst()
                        .orElse(null);
        if (ran != null && kind.effect() == Idempotency.ONCE) {
            breaks(Rule.DUPLICATED, now, call.id, nodo.id, "may have run at " + ran.nodo.id);
        } else if (ran != null && kind.effect() == Idempotency.BY_KEY) {
            boolean sameGroup =
                    switch (kind.group()) {
                        case ALL -> true;
                        case ZONE -> ran.nodo.zone == nodo.zone;
                        case CELL -> ran.nodo.cell == nodo.cell;
                    };
            if (!sameGroup || now - ran.at > kind.windowMs() + sightMs) {
                breaks(
                        Rule.DUPLICATED,
                        now,
                        call.id,
                        nodo.id,
                        sameGroup
                                ? "came after the window from " + ran.nodo.id
                                : "may have run in another group, at " + ran.nodo.id);
            }
        }
        before.add(mine);
    }

    @Override
    public void ended(
            double now, Call call, ModelServer nodo, int attempt, End end, boolean began) {
        List<Seen> all = attempts.get(call.id);
        if (all != null) {
            all.stream()
                    .filter(seen -> seen.out && seen.nodo == nodo)
                    .findFirst()
                    .ifPresent(
                            seen -> {
                                seen.out = false;
                                seen.end = end;
                            });
        }
    }

    @Override
    public void sent(double now, Call call, ModelServer nodo) {
        Double told = unwanted.getOrDefault(call.sidecar, Map.of()).get(nodo.id);
        if (told != null && now > told + experiment.world().rules().drainGraceMs() + sightMs) {
            breaks(
                    Rule.DRAINED,
                    now,
                    call.id,
                    nodo.id,
                    "was sent by sidecar "
                            + call.sidecar
                            + ", told "
                            + Math.round(now - told)
                            + " ms before");
        }
    }

    @Override
    public void told(double now, int sidecar, String nodo, ServerState state, double startedMs) {
        Map<String, Double> own = unwanted.computeIfAbsent(sidecar, number -> new HashMap<>());
        if (state == ServerState.READY) {
            own.remove(nodo);
        } else {
            own.putIfAbsent(nodo, now);
        }
    }

    @Override
    public void sidecar(double now, int sidecar, boolean up) {
        if (up) {
            down.remove(sidecar);
        } else {
            down.add(sidecar);
            unwanted.remove(sidecar);
        }
    }

    @Override
    public void pushedOver(double now, ModelServer nodo, double byInformed) {
        if (byInformed >= INFORMED_SHARE) {
            breaks(
                    Rule.COLD,
                    now,
                    "",
                    nodo.id,
                    "fell over; "
                            + Math.round(100 * byInformed)
                            + " % of its load was from sidecars that knew of its start");
        }
    }

    @Override
    public void crashed(double now, int sidecar, String how) {
        breaks(Rule.CRASHED, now, "", "", "sidecar " + sidecar + " " + how);
    }
}
