package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Asks one member after the other whether it is there, and others to ask where there is no answer
 * (SWIM, sections 3.1 and 4.3): each in turn in an order drawn anew each round, so each is asked
 * within two rounds.
 */
final class Prober {

    /**
     * Looks at suspects beside the probe of the period: a fleet in trouble must not probe without
     * bound.
     */
    private static final int MAX_EXTRA_PROBES = 4;

    /** An asked proxy says that it has no answer a little before the asker stops waiting. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /** How messages get their news, and their way. */
    interface Sender {
        void send(
                Message.Kind kind,
                String to,
                String address,
                long sequence,
                String target,
                String targetAddress);
    }

    private static final class Probe {
        String target;
        long run;
        double sentMs;
        double indirectDueMs;
        double deadlineMs;
        int proxiesAsked = -1;
        int nacks;
    }

    /** A probe for another. */
    private record IndirectProbe(
            String requester,
            String requesterAddress,
            long sequence,
            double sentMs,
            double nackDueMs) {}

    private final SwimSettings settings;
    private final LocalMember localMember;
    private final MemberTable table;
    private final LocalHealth localHealth;
    private final UpdateMerger updateMerger;
    private final Sender sender;
    private final RandomGenerator random;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long lastSequence;
    private double nextPeriodMs;

    Prober(
            SwimSettings tuning,
            LocalMember self,
            MemberTable table,
            LocalHealth health,
            UpdateMerger claims,
            Sender sender,
            RandomGenerator random,
            double now) {
        this.settings = tuning;
        this.localMember = self;
        this.table = table;
        this.localHealth = health;
        this.updateMerger = claims;
        this.sender = sender;
        this.random = random;
        nextPeriodMs = now + random.nextDouble() * tuning.periodMs();
    }

    void advance(double now) {
        for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
            Probe probe = each.getValue();
            if (now >= probe.deadlineMs) {
                probes.remove(each.getKey());
                if (probe.proxiesAsked > 0 && probe.nacks == 0) {
                    // Not even those in between were heard: the fault may be here.
                    localHealth.degrade(1);
                }
                updateMerger.onProbeFailed(now, probe.target, probe.run);
            } else if (now >= probe.indirectDueMs && probe.proxiesAsked < 0) {
                requestIndirectProbes(each.getKey(), probe);
            }
        }
        for (Iterator<Map.Entry<Long, IndirectProbe>> all = indirectProbes.entrySet().iterator();
                all.hasNext(); ) {
            IndirectProbe errand = all.next().getValue();
            if (now >= errand.nackDueMs) {
                all.remove();
                sender.send(
                        Message.Kind.NACK,
                        errand.requester,
                        errand.requesterAddress,
                        errand.sequence,
                        "",
                        "");
            }
        }
        if (now >= nextPeriodMs) {
            nextPeriodMs = now + localHealth.scaledMs(settings.periodMs());
            String next = nextTarget();
            if (next != null) {
                probe(now, next);
            }
        }
    }

    private String nextTarget() {
        for (int tries = 0; tries < 2; tries++) {
            while (!probeOrder.isEmpty()) {
                String name = probeOrder.remove(probeOrder.size() - 1);
                MemberTable.Entry entry = table.get(name);
                if (entry != null && entry.update.state().isPresent()) {
                    return name;
                }
            }
            for (MemberTable.Entry entry : table.entries()) {
                if (entry.update.state().isPresent()
                        && !entry.update.name().equals(localMember.name)) {
                    probeOrder.add(entry.update.name());
                }
            }
            for (int i = probeOrder.size() - 1; i > 0; i--) {
                Collections.swap(probeOrder, i, random.nextInt(i + 1));
            }
        }
        return null;
    }

    /** A new member takes its turn at a random place of this round. */
    void onMemberAdded(String name) {
        probeOrder.add(random.nextInt(probeOrder.size() + 1), name);
    }

    /** Looks at a suspect that others told of, unless there is much to look at already. */
    void probeSuspect(double now, String name) {
        if (probes.size() < MAX_EXTRA_PROBES
                && probes.values().stream().noneMatch(p -> p.target.equals(name))) {
            probe(now, name);
        }
    }

    private void probe(double now, String name) {
        MemberUpdate held = table.get(name).update;
        Probe probe = new Probe();
        probe.target = name;
        probe.run = held.run();
        probe.sentMs = now;
        probe.indirectDueMs = now + localHealth.scaledMs(settings.ackMs());
        probe.deadlineMs = now + localHealth.scaledMs(settings.periodMs());
        probes.put(++lastSequence, probe);
        sender.send(Message.Kind.PING, name, held.address(), lastSequence, name, "");
    }

    private void requestIndirectProbes(long sequence, Probe probe) {
        MemberTable.Entry target = table.get(probe.target);
        List<MemberUpdate> others = new ArrayList<>();
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.update.state() == MemberState.ALIVE
                    && !entry.update.name().equals(localMember.name)
                    && !entry.update.name().equals(probe.target)) {
                others.add(entry.update);
            }
        }
        probe.proxiesAsked = Math.min(settings.proxies(), others.size());
        for (int i = 0; i < probe.proxiesAsked && target != null; i++) {
            Collections.swap(others, i, i + random.nextInt(others.size() - i));
            MemberUpdate proxy = others.get(i);
            sender.send(
                    Message.Kind.PING_REQUEST,
                    proxy.name(),
                    proxy.address(),
                    sequence,
                    probe.target,
                    target.update.address());
        }
    }

    /** Another asks for a probe of a member, whom this process need not know. */
    void onPingRequest(double now, Message asked) {
        if (indirectProbes.size() >= 64) {
            // More than members in good order ask for at once: whoever asked has others too.
            return;
        }
        indirectProbes.put(
                ++lastSequence,
                new IndirectProbe(
                        asked.from(),
                        asked.address(),
                        asked.sequence(),
                        now,
                        now + settings.ackMs() * NACK_TIMEOUT_FRACTION));
        sender.send(
                Message.Kind.PING,
                asked.target(),
                asked.targetAddress(),
                lastSequence,
                asked.target(),
                "");
    }

    /**
     * Takes an answer; returns how long it was under way at most, or below 0 where nothing was
     * asked.
     */
    double onAck(double now, Message ack) {
        IndirectProbe errand = indirectProbes.remove(ack.sequence());
        if (errand != null) {
            sender.send(
                    Message.Kind.ACK,
                    errand.requester,
                    errand.requesterAddress,
                    errand.sequence,
                    ack.from(),
                    "");
            return now - errand.sentMs;
        }
        Probe probe = probes.get(ack.sequence());
        if (probe != null
                && (ack.from().equals(probe.target) || ack.target().equals(probe.target))) {
            probes.remove(ack.sequence());
            localHealth.improve();
            return now - probe.sentMs;
        }
        return -1;
    }

    void onNack(Message nack) {
        Probe probe = probes.get(nack.sequence());
        if (probe != null) {
            probe.nacks++;
        }
    }

    /** This process did not run for a while: what it waited for says nothing. */
    void cancelAll() {
        probes.clear();
        indirectProbes.clear();
    }

    double nextDueMs() {
        double next = nextPeriodMs;
        for (Probe probe : probes.values()) {
            next = Math.min(next, probe.proxiesAsked < 0 ? probe.indirectDueMs : probe.deadlineMs);
        }
        for (IndirectProbe errand : indirectProbes.values()) {
            next = Math.min(next, errand.nackDueMs);
        }
        return next;
    }
}
