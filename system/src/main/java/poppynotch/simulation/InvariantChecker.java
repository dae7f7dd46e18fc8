package poppynotch.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import poppynotch.config.DocumentCodec;
import poppynotch.control.OperatorChangeResult;
import poppynotch.register.AppliedChange;
import poppynotch.register.RegisterValue;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Holds what operators, servers and edges were told against what control promises. It looks at what
 * core processes know only where a schedule has ended, to see whether they have come to rest.
 */
final class InvariantChecker {

    /**
     * An acknowledged change is in force, and a drain heeded, at every edge in touch after these.
     */
    private static final long CONFIG_MS = 2000;

    private static final long DRAIN_MS = 2000;

    /** How long nothing must have happened for an edge to be in touch. */
    private static final long CONTACT_MS = 3000;

    private final SimulatedFleet world;
    private Optional<String> finding = Optional.empty();
    private long troubleMs;

    /** What was in force at some edge, or read: content by version. */
    private final Map<Long, String> seen = new TreeMap<>();

    InvariantChecker(SimulatedFleet world) {
        this.world = world;
    }

    /** What was found first. */
    Optional<String> finding() {
        return finding;
    }

    private void find(String what) {
        if (finding.isEmpty()) {
            finding = Optional.of("at " + world.time().getAsLong() + " ms: " + what);
        }
    }

    /** Something was done to a machine or a link: no edge is in touch for some time. */
    void disrupted() {
        troubleMs = world.time().getAsLong();
    }

    // ---- what is told ----

    /** An operator was told what became of an order. */
    void orderEnds(SubmittedChange order, OperatorChangeResult result) {
        if (!order.told(world.time().getAsLong(), result)) {
            find("order " + order.content() + " was taken, and was refused: " + result);
        }
    }

    /** An operator has read the configuration. */
    void configRead(long sentMs, byte[] json) {
        String text = new String(json, StandardCharsets.UTF_8);
        long read = generation(text);
        long newest = world.operator().newestTaken(sentMs);
        if (read < newest) {
            find("a read gave version " + read + " after " + newest + " was acknowledged");
        }
        see(read, text);
    }

    /** An edge takes a configuration. */
    void edgeTakes(VirtualEdge edge, RegisterValue before, RegisterValue told) {
        if (before != null && told.generation() < before.generation()) {
            find(edge.name() + " went back to version " + told.generation());
        }
        see(told.generation(), text(told));
    }

    /** A core process has vouched to an edge for what the edge has now. */
    void edgeVouchedFor(VirtualEdge edge, long upToMs) {
        vouchedFor(edge.name(), edge.value().map(RegisterValue::generation).orElse(0L), upToMs);
    }

    /** A version has been vouched for as the newest up to a time. */
    void vouchedFor(String who, long has, long upToMs) {
        long newest = world.operator().newestTaken(upToMs);
        if (has < newest) {
            find(
                    who
                            + " has version "
                            + has
                            + ", vouched for up to "
                            + upToMs
                            + ", when "
                            + newest
                            + " was acknowledged");
        }
    }

    private void see(long generation, String content) {
        String other = seen.putIfAbsent(generation, content);
        if (other != null && !other.equals(content)) {
            find("version " + generation + " is " + other + " and " + content);
        }
    }

    private static String text(RegisterValue value) {
        return new String(DocumentCodec.decode(value.document()), StandardCharsets.UTF_8);
    }

    private static long generation(String json) {
        int from = json.indexOf(':') + 1;
        return Long.parseLong(json.substring(from, json.indexOf(',')));
    }

    // ---- what is looked at ----

    /** Looks at the edges that are in touch. */
    void look() {
        long now = world.time().getAsLong();
        if (now - troubleMs <= CONTACT_MS || !isCoreStable()) {
            return;
        }
        long due = world.operator().newestTaken(now - CONFIG_MS);
        Set<String> leaving = new HashSet<>();
        for (VirtualServer server : world.servers()) {
            if (server.acknowledgedMs() < now - DRAIN_MS) {
                leaving.add(server.id());
            }
        }
        for (VirtualEdge edge : world.edges()) {
            if (edge.isUp() && reachesAll(edge)) {
                look(edge, due, leaving);
            }
        }
    }

    /** Whether no core machine stands still, and more than half of them are connected. */
    private boolean isCoreStable() {
        List<VirtualControlPlane> cores = world.cores();
        boolean allRun = cores.stream().allMatch(core -> core.isUp() && !core.isFrozen());
        return allRun && cores.stream().anyMatch(core -> 2 * reach(core) > cores.size());
    }

    /** How many core machines one reaches, itself included. */
    private long reach(VirtualControlPlane core) {
        return world.cores().stream()
                .filter(other -> other == core || world.network().isOpen(core.name(), other.name()))
                .count();
    }

    private boolean reachesAll(VirtualEdge edge) {
        return world.cores().stream()
                .allMatch(core -> world.network().isOpen(edge.name(), core.name()));
    }

    private void look(VirtualEdge edge, long due, Set<String> leaving) {
        long has = edge.value().map(RegisterValue::generation).orElse(0L);
        if (has < due) {
            find(edge.name() + " is in touch and has version " + has + ", not " + due);
        }
        for (ServerRecord server : edge.servers()) {
            if (server.state() == ServerState.READY && leaving.contains(server.id())) {
                find(edge.name() + " is in touch and sends to " + server.id() + ", which drains");
            }
        }
    }

    // ---- the end ----

    /** Everything is well again for long: all must know the newest, and nothing may be lost. */
    void atRest() {
        List<RegisterValue> known = new ArrayList<>();
        for (VirtualControlPlane core : world.cores()) {
            core.core().known().ifPresent(chosen -> known.add(chosen.value()));
            if (core.core().known().isEmpty() || core.core().isFenced()) {
                find(core.name() + " has not come back");
                return;
            }
        }
        RegisterValue newest = known.get(0);
        if (known.stream().anyMatch(value -> !value.equals(newest))) {
            find("core processes know different values: " + known);
            return;
        }
        for (VirtualEdge edge : world.edges()) {
            if (edge.value().map(RegisterValue::generation).orElse(0L) != newest.generation()) {
                find(edge.name() + " does not have the newest version");
            }
        }
        checkAcceptors(newest);
        checkChain(newest);
    }

    private void checkAcceptors(RegisterValue newest) {
        int wanted = Math.min(2 * world.tolerated() + 1, world.cores().size());
        boolean living =
                newest.acceptors().everyone().stream()
                        .allMatch(acceptor -> world.core(acceptor).isPresent());
        if (newest.acceptors().isChanging()
                || newest.acceptors().members().size() < wanted
                || !living) {
            find("the acceptors at the end are " + newest.acceptors());
        }
    }

    /** Each version has one successor, and what the operators were told is so. */
    private void checkChain(RegisterValue newest) {
        Map<Long, Long> generations = new HashMap<>();
        // What came before the changes that are remembered can't be told.
        boolean whole = newest.history().size() < RegisterValue.HISTORY;
        long before = whole ? 0 : newest.history().get(0).generation();
        long oldest = before;
        Map<Long, Long> basis = new HashMap<>();
        for (AppliedChange change : newest.history()) {
            generations.put(change.digest(), change.generation());
            basis.put(change.digest(), before);
            before = change.generation();
        }
        for (SubmittedChange order : world.operator().orders()) {
            boolean inChain = generations.containsKey(order.digest());
            if (order.generation() < oldest) {
                continue;
            }
            if (order.isTaken() && !inChain) {
                find("order " + order.content() + " was acknowledged and is lost");
            } else if (order.isRefused() && inChain) {
                find("order " + order.content() + " was refused and is in force");
            } else if (inChain
                    && order.generation() > oldest
                    && basis.get(order.digest()) != order.buildsOn()) {
                find(
                        "order "
                                + order.content()
                                + " for version "
                                + order.buildsOn()
                                + " follows version "
                                + basis.get(order.digest()));
            }
        }
        Set<Long> chain = new HashSet<>(generations.values());
        for (long generation : seen.keySet()) {
            if (generation >= oldest && !chain.contains(generation)) {
                find("version " + generation + " was in force and is no part of the history");
            }
        }
    }
}
