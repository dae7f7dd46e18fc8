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
    private static final int MOST_LOOKS = 4;

    /** An asked proxy says that it has no answer a little before the asker stops waiting. */
    private static final double NACK_PART = 0.8;

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
        double ackMs;
        double endMs;
        int asked = -1;
        int nacks;
    }

    /** A probe for another. */
    private record Errand(
            String asker, String askerAddress, long sequence, double sentMs, double nackMs) {}

    private final SwimSettings tuning;
    private final LocalMember self;
    private final MemberTable table;
    private final LocalHealth health;
    private final UpdateMerger claims;
    private final Sender sender;
    private final RandomGenerator random;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Errand> errands = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private long sequences;
    private double periodMs;

    Prober(
            SwimSettings tuning,
            LocalMember self,
            MemberTable table,
            LocalHealth health,
            UpdateMerger claims,
            Sender sender,
            RandomGenerator random,
            double now) {
        this.tuning = tuning;
        this.self = self;
        this.table = table;
        this.health = health;
        this.claims = claims;
        this.sender = sender;
        this.random = random;
        periodMs = now + random.nextDouble() * tuning.periodMs();
    }

    void advance(double now) {
        for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
            Probe probe = each.getValue();
            if (now >= probe.endMs) {
                probes.remove(each.getKey());
                if (probe.asked > 0 && probe.nacks == 0) {
                    // Not even those in between were heard: the fault may be here.
                    health.worse(1);
                }
                claims.noAnswer(now, probe.target, probe.run);
            } else if (now >= probe.ackMs && probe.asked < 0) {
                askOthers(each.getKey(), probe);
            }
        }
        for (Iterator<Map.Entry<Long, Errand>> all = errands.entrySet().iterator();
                all.hasNext(); ) {
            Errand errand = all.next().getValue();
            if (now >= errand.nackMs) {
                all.remove();
                sender.send(
                        Message.Kind.NACK,
                        errand.asker,
                        errand.askerAddress,
                        errand.sequence,
                        "",
                        "");
            }
        }
        if (now >= periodMs) {
            periodMs = now + health.stretched(tuning.periodMs());
            String next = next();
            if (next != null) {
                probe(now, next);
            }
        }
    }

    private String next() {
        for (int tries = 0; tries < 2; tries++) {
            while (!round.isEmpty()) {
                String name = round.remove(round.size() - 1);
                MemberTable.Entry entry = table.get(name);
                if (entry != null && entry.held.state().isPresent()) {
                    return name;
                }
            }
            for (MemberTable.Entry entry : table.all()) {
                if (entry.held.state().isPresent() && !entry.held.name().equals(self.name)) {
                    round.add(entry.held.name());
                }
            }
            for (int i = round.size() - 1; i > 0; i--) {
                Collections.swap(round, i, random.nextInt(i + 1));
            }
        }
        return null;
    }

    /** A new member takes its turn at a random place of this round. */
    void joined(String name) {
        round.add(random.nextInt(round.size() + 1), name);
    }

    /** Looks at a suspect that others told of, unless there is much to look at already. */
    void look(double now, String name) {
        if (probes.size() < MOST_LOOKS
                && probes.values().stream().noneMatch(p -> p.target.equals(name))) {
            probe(now, name);
        }
    }

    private void probe(double now, String name) {
        MemberUpdate held = table.get(name).held;
        Probe probe = new Probe();
        probe.target = name;
        probe.run = held.run();
        probe.sentMs = now;
        probe.ackMs = now + health.stretched(tuning.ackMs());
        probe.endMs = now + health.stretched(tuning.periodMs());
        probes.put(++sequences, probe);
        sender.send(Message.Kind.PING, name, held.address(), sequences, name, "");
    }

    private void askOthers(long sequence, Probe probe) {
        MemberTable.Entry target = table.get(probe.target);
        List<MemberUpdate> others = new ArrayList<>();
        for (MemberTable.Entry entry : table.all()) {
            if (entry.held.state() == MemberState.ALIVE
                    && !entry.held.name().equals(self.name)
                    && !entry.held.name().equals(probe.target)) {
                others.add(entry.held);
            }
        }
        probe.asked = Math.min(tuning.proxies(), others.size());
        for (int i = 0; i < probe.asked && target != null; i++) {
            Collections.swap(others, i, i + random.nextInt(others.size() - i));
            MemberUpdate proxy = others.get(i);
            sender.send(
                    Message.Kind.PING_REQUEST,
                    proxy.name(),
                    proxy.address(),
                    sequence,
                    probe.target,
                    target.held.address());
        }
    }

    /** Another asks for a probe of a member, whom this process need not know. */
    void errand(double now, Message asked) {
        if (errands.size() >= 64) {
            // More than members in good order ask for at once: whoever asked has others too.
            return;
        }
        errands.put(
                ++sequences,
                new Errand(
                        asked.from(),
                        asked.address(),
                        asked.sequence(),
                        now,
                        now + tuning.ackMs() * NACK_PART));
        sender.send(
                Message.Kind.PING,
                asked.target(),
                asked.targetAddress(),
                sequences,
                asked.target(),
                "");
    }

    /**
     * Takes an answer; returns how long it was under way at most, or below 0 where nothing was
     * asked.
     */
    double acknowledged(double now, Message ack) {
        Errand errand = errands.remove(ack.sequence());
        if (errand != null) {
            sender.send(
                    Message.Kind.ACK,
                    errand.asker,
                    errand.askerAddress,
                    errand.sequence,
                    ack.from(),
                    "");
            return now - errand.sentMs;
        }
        Probe probe = probes.get(ack.sequence());
        if (probe != null
                && (ack.from().equals(probe.target) || ack.target().equals(probe.target))) {
            probes.remove(ack.sequence());
            health.better();
            return now - probe.sentMs;
        }
        return -1;
    }

    void notAcknowledged(Message nack) {
        Probe probe = probes.get(nack.sequence());
        if (probe != null) {
            probe.nacks++;
        }
    }

    /** This process did not run for a while: what it waited for says nothing. */
    void forget() {
        probes.clear();
        errands.clear();
    }

    double nextMs() {
        double next = periodMs;
        for (Probe probe : probes.values()) {
            next = Math.min(next, probe.asked < 0 ? probe.ackMs : probe.endMs);
        }
        for (Errand errand : errands.values()) {
            next = Math.min(next, errand.nackMs);
        }
        return next;
    }
}
