package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/** The network between the members of a virtual fleet: what passes, how often and how late. */
final class VirtualNetwork {

    /** Within a zone and across, as the sites' figures go: some tenths to some milliseconds. */
    private static final double LEAST_MS = 0.1;

    private static final double SPREAD_MS = 5;

    /** Where members have places, up to this part of the way's delay is added at random. */
    private static final double JITTER = 0.2;

    /** A connection's handshake is a way there and back before what it carries. */
    private static final int HANDSHAKE_WAYS = 2;

    /**
     * What TCP waits before it sends again: first for a handshake (RFC 6298), then on a short way.
     */
    private static final double HANDSHAKE_AGAIN_MS = 1000;

    private static final double AGAIN_MS = 200;

    /**
     * Each wait is twice the one before; after so many in a row the connection is given up here.
     */
    private static final int MOST_AGAIN = 5;

    private final SplittableRandom random;
    private final double loss;
    private final Places places;

    /** Whether nothing passes from one region to another, by their numbers. */
    private final boolean[][] cut;

    private final List<Trouble> now = new ArrayList<>();

    /** A fault of now; whom it strikes is looked up for each message. */
    private record Trouble(Fault fault, BitSet struck) {}

    VirtualNetwork(SplittableRandom random, double loss, Places places) {
        this.random = random;
        this.loss = loss;
        this.places = places;
        cut = new boolean[places.regions()][places.regions()];
    }

    void begin(Fault fault) {
        BitSet struck = new BitSet();
        fault.who().forEach(struck::set);
        now.add(new Trouble(fault, struck));
    }

    void end(Fault fault) {
        for (int i = 0; i < now.size(); i++) {
            if (now.get(i).fault().equals(fault)) {
                now.remove(i);
                return;
            }
        }
    }

    /** From now on nothing passes from a region to another, or all does again. */
    void cut(String from, String to, boolean isCut) {
        cut[places.region(from)][places.region(to)] = isCut;
    }

    /** Whether anything passes this way. */
    boolean passes(int from, int to) {
        if (!places.isNone() && cut[places.region(from)][places.region(to)]) {
            return false;
        }
        for (Trouble each : now) {
            Fault fault = each.fault();
            boolean fromStruck = each.struck().get(from);
            boolean toStruck = each.struck().get(to);
            boolean cut =
                    switch (fault.kind()) {
                        case PARTITION -> fromStruck != toStruck;
                        case MUTE -> fromStruck && !toStruck;
                        case DEAF -> toStruck && !fromStruck;
                        case ONE_WAY -> fault.who().get(0) == from && fault.who().get(1) == to;
                        default -> false;
                    };
            if (cut) {
                return false;
            }
        }
        return true;
    }

    /**
     * How long each copy of a message takes, in milliseconds; none where it is lost.
     *
     * @param whole over a connection, which makes delays of losses and needs the way back
     */
    double[] ways(int from, int to, boolean whole) {
        if (!passes(from, to) || whole && !passes(to, from)) {
            return new double[0];
        }
        double lost = loss;
        double twice = 0;
        double later = 0;
        for (Trouble each : now) {
            Fault fault = each.fault();
            switch (fault.kind()) {
                case LOSS -> lost = 1 - (1 - lost) * (1 - fault.value());
                case DUPLICATION -> twice = Math.max(twice, fault.value());
                case DELAY -> later += fault.value();
                default -> {}
            }
        }
        if (whole) {
            double ms = way(from, to, later) * (1 + HANDSHAKE_WAYS);
            for (int way = 0; way <= HANDSHAKE_WAYS && lost > 0; way++) {
                double again = way < HANDSHAKE_WAYS ? HANDSHAKE_AGAIN_MS : AGAIN_MS;
                int tries = 0;
                for (; tries < MOST_AGAIN && random.nextDouble() < lost; tries++) {
                    ms += again;
                    again *= 2;
                }
                if (tries == MOST_AGAIN) {
                    return new double[0];
                }
            }
            return new double[] {ms};
        }
        if (random.nextDouble() < lost) {
            return new double[0];
        }
        return twice > 0 && random.nextDouble() < twice
                ? new double[] {way(from, to, later), way(from, to, later)}
                : new double[] {way(from, to, later)};
    }

    private double way(int from, int to, double later) {
        if (places.isNone()) {
            return LEAST_MS + random.nextDouble() * (SPREAD_MS + later);
        }
        double ms = places.ms(from, to);
        return ms + random.nextDouble() * (ms * JITTER + later);
    }
}
