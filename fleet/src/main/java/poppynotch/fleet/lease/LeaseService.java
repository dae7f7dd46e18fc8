package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What a keeper does for those who ask: while it leads it puts their commands into the log, ends
 * leases whose time is over by its own clock, and gives a duty that becomes free to the best of
 * those who wait for it. It does no I/O and is told the time; all that must hold after its end is
 * in the log.
 */
public final class LeaseService {

    /**
     * Who is to have a duty by operators' word has so long to ask for it; after that anybody may.
     */
    private static final double WANTED_MS = 2000;

    /** So many wait for one duty at most; the next is answered at once, and asks again. */
    private static final int MOST_WAITING = 2000;

    /** The keepers' log, as one of them sees it. */
    public interface Log {
        /** Whether this keeper leads, as far as it knows. */
        boolean leads();

        /** The keepers' term; another one with each leader. */
        long term();

        /** Who leads, as far as this keeper knows, by its name in the fleet; empty for nobody. */
        String leader();

        /**
         * Appends a command; {@code then} gets what came of it, or null where that is not known.
         */
        void propose(LeaseCommand command, Consumer<LeaseTable.Outcome> then);
    }

    /** Takes answers to where they were asked for. */
    public interface Replies {
        /** Sends one. */
        void reply(String to, long sequence, LeaseClient.Answer answer);
    }

    private record Waiting(
            String from, long sequence, LeaseCommand command, int preference, double sinceMs) {}

    private static final class Watch {
        /** When this keeper saw the last grant, renewal or end. */
        double sinceMs;

        boolean busy;
        final Map<String, Waiting> waiting = new TreeMap<>();
    }

    private final LeaseSettings terms;
    private final LeaseTable ledger;
    private final Log log;
    private final Replies replies;
    private final Map<String, Watch> watches = new HashMap<>();
    private long term = -1;
    private boolean led;
    private double leadsSinceMs;

    /** Serves from this ledger, which {@link #applied} follows. */
    public LeaseService(LeaseSettings terms, LeaseTable ledger, Log log, Replies replies) {
        this.terms = terms;
        this.ledger = ledger;
        this.log = log;
        this.replies = replies;
    }

    /** The log has got on: a command was carried out, here or at any other keeper. */
    public void applied(double now, LeaseCommand command, LeaseTable.Outcome outcome) {
        if (outcome.done() && command.kind() != LeaseCommand.Kind.LOOK) {
            watch(command.duty()).sinceMs = now;
        }
    }

    /** The ledger was taken over whole from another keeper. */
    public void restored(double now) {
        ledger.duties().keySet().forEach(duty -> watch(duty).sinceMs = now);
    }

    private Watch watch(String duty) {
        return watches.computeIfAbsent(duty, d -> new Watch());
    }

    /**
     * Somebody asks.
     *
     * @param from the member that asks; it can ask for itself alone
     */
    public void asked(
            double now, String from, long sequence, LeaseCommand command, int preference) {
        boolean forItself =
                command.kind() == LeaseCommand.Kind.MOVE
                        || command.kind() == LeaseCommand.Kind.LOOK
                        || command.member().equals(from);
        if (command.kind() == LeaseCommand.Kind.EXPIRE
                || !forItself
                || command.duty().isEmpty()
                || command.duty().length() > LeaseCommand.LONGEST) {
            // A fault of whoever asks; there is nothing that it could do with an answer.
            return;
        }
        lookWhoLeads(now);
        if (!led) {
            replies.reply(from, sequence, notHere());
            return;
        }
        LeaseTable.Lease duty = ledger.duties().getOrDefault(command.duty(), LeaseTable.Lease.FREE);
        if (command.kind() != LeaseCommand.Kind.ACQUIRE || duty.isOf(command)) {
            carryOut(from, sequence, command);
            return;
        }
        Watch watch = watch(command.duty());
        if (watch.waiting.size() >= MOST_WAITING && !watch.waiting.containsKey(from)) {
            replies.reply(from, sequence, new LeaseClient.Answer(false, duty, log.leader()));
        } else {
            // Whoever asks again has given up the question before.
            watch.waiting.put(from, new Waiting(from, sequence, command, preference, now));
        }
    }

    private LeaseClient.Answer notHere() {
        return new LeaseClient.Answer(false, null, log.leads() ? "" : log.leader());
    }

    private void carryOut(String from, long sequence, LeaseCommand command) {
        log.propose(
                command,
                outcome ->
                        replies.reply(
                                from,
                                sequence,
                                outcome == null
                                        ? notHere()
                                        : new LeaseClient.Answer(
                                                outcome.done(), outcome.duty(), log.leader())));
    }

    /**
     * A leader counts every lease from when it began to lead: what its forerunner granted last it
     * may have seen late.
     */
    private void lookWhoLeads(double now) {
        if (log.leads() == led && log.term() == term) {
            return;
        }
        led = log.leads();
        term = log.term();
        leadsSinceMs = now;
        watches.values().forEach(watch -> watch.busy = false);
        if (!led) {
            watches.values()
                    .forEach(
                            watch -> {
                                watch.waiting
                                        .values()
                                        .forEach(
                                                each ->
                                                        replies.reply(
                                                                each.from(),
                                                                each.sequence(),
                                                                notHere()));
                                watch.waiting.clear();
                            });
        }
    }

    /**
     * Ends leases, gives out what is free, answers those who waited in vain; called every 50 ms or
     * so.
     */
    public void advance(double now) {
        lookWhoLeads(now);
        if (!led) {
            return;
        }
        Map<String, LeaseTable.Lease> duties = ledger.duties();
        for (Map.Entry<String, Watch> each : watches.entrySet()) {
            String name = each.getKey();
            Watch watch = each.getValue();
            LeaseTable.Lease duty = duties.getOrDefault(name, LeaseTable.Lease.FREE);
            double since = Math.max(watch.sinceMs, leadsSinceMs);
            if (!watch.busy && !duty.isFree() && now >= since + terms.leaderMs()) {
                ask(
                        watch,
                        new LeaseCommand(
                                LeaseCommand.Kind.EXPIRE,
                                name,
                                duty.holder(),
                                duty.run(),
                                duty.token(),
                                duty.renewal()),
                        outcome -> {});
            } else if (!watch.busy && duty.isFree() && !watch.waiting.isEmpty()) {
                give(now, name, duty, watch, since);
            }
            List<Waiting> over =
                    watch.waiting.values().stream()
                            .filter(one -> now >= one.sinceMs() + terms.parkMs())
                            .toList();
            over.forEach(
                    one -> {
                        watch.waiting.remove(one.from());
                        replies.reply(
                                one.from(),
                                one.sequence(),
                                new LeaseClient.Answer(false, duty, log.leader()));
                    });
        }
    }

    private void give(
            double now, String name, LeaseTable.Lease duty, Watch watch, double freeSince) {
        if (!duty.wanted().isEmpty() && !watch.waiting.containsKey(duty.wanted())) {
            if (now >= freeSince + WANTED_MS) {
                ask(
                        watch,
                        new LeaseCommand(LeaseCommand.Kind.MOVE, name, "", 0, 0, 0),
                        outcome -> {});
            }
            return;
        }
        double first =
                watch.waiting.values().stream().mapToDouble(Waiting::sinceMs).min().orElse(now);
        if (now < first + terms.staggerMs()) {
            return;
        }
        Waiting best =
                duty.wanted().isEmpty()
                        ? watch.waiting.values().stream()
                                .min(
                                        Comparator.comparingInt(Waiting::preference)
                                                .thenComparing(Waiting::from))
                                .orElseThrow()
                        : watch.waiting.get(duty.wanted());
        watch.waiting.remove(best.from());
        ask(
                watch,
                best.command(),
                outcome ->
                        replies.reply(
                                best.from(),
                                best.sequence(),
                                outcome == null
                                        ? notHere()
                                        : new LeaseClient.Answer(
                                                outcome.done(), outcome.duty(), log.leader())));
    }

    private void ask(Watch watch, LeaseCommand command, Consumer<LeaseTable.Outcome> then) {
        watch.busy = true;
        log.propose(
                command,
                outcome -> {
                    watch.busy = false;
                    then.accept(outcome);
                });
    }

    /** Those who wait for a duty, for operators. */
    public List<String> waiting(String duty) {
        return watches.containsKey(duty)
                ? new ArrayList<>(watches.get(duty).waiting.keySet())
                : List.of();
    }

    /** How long ago this keeper saw a duty's last grant, renewal or end, in milliseconds. */
    public double seenAgoMs(double now, String duty) {
        return watches.containsKey(duty) ? now - watches.get(duty).sinceMs : 0;
    }
}
