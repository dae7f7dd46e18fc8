package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The simulated network between the members of a {@link VirtualFleet}: decides for each message
 * whether it is lost, duplicated, and how long it takes. Owned by the fleet and used on its thread
 * only; one generator makes all draws, so the order of calls decides what is drawn.
 */
final class VirtualNetwork {

    /**
     * Delay without positions: from some tenths to some milliseconds, as measured at the sites
     * within a zone and across zones.
     */
    private static final double MIN_DELAY_MS = 0.1;

    private static final double DELAY_SPREAD_MS = 5;

    /** With positions, up to this fraction of the base delay is added at random. */
    private static final double JITTER_FRACTION = 0.2;

    /** A connection's handshake takes one trip there and one back before the message. */
    private static final int HANDSHAKE_TRIPS = 2;

    /** TCP's first retransmission time-out in a handshake (RFC 6298). */
    private static final double HANDSHAKE_RETRANSMIT_MS = 1000;

    /** TCP's first retransmission time-out on an open connection with a short round trip. */
    private static final double RETRANSMIT_MS = 200;

    /**
     * Retransmissions in a row after which the connection fails; each time-out is twice the one
     * before.
     */
    private static final int MAX_RETRANSMITS = 5;

    private final SplittableRandom random;
    private final double loss;
    private final FailureDomains places;

    /** By numbers of regions [from][to]: whether a partition stops all messages. */
    private final boolean[][] partitioned;

    private final List<ActiveFault> activeFaults = new ArrayList<>();

    /** A fault that has begun and not ended; the bit set makes the look-up per message cheap. */
    private record ActiveFault(Fault fault, BitSet struck) {

        /** Whether it stops all messages in this direction. */
        boolean blocks(int from, int to) {
            boolean fromStruck = struck.get(from);
            boolean toStruck = struck.get(to);
            return switch (fault.kind()) {
                case PARTITION -> fromStruck != toStruck;
                case MUTE -> fromStruck && !toStruck;
                case DEAF -> toStruck && !fromStruck;
                case ONE_WAY -> fault.who().get(0) == from && fault.who().get(1) == to;
                default -> false;
            };
        }
    }

    /**
     * The effect of all active faults and the constant loss on a message.
     *
     * @param lossRate probability that a datagram is lost
     * @param duplicationRate probability that a datagram arrives twice
     * @param extraDelayMs largest delay that is added
     */
    private record Conditions(double lossRate, double duplicationRate, double extraDelayMs) {}

    VirtualNetwork(SplittableRandom random, double loss, FailureDomains places) {
        this.random = random;
        this.loss = loss;
        this.places = places;
        partitioned = new boolean[places.regions()][places.regions()];
    }

    /** Applies a fault of the network until {@link #endFault}. */
    void startFault(Fault fault) {
        BitSet struck = new BitSet();
        fault.who().forEach(struck::set);
        activeFaults.add(new ActiveFault(fault, struck));
    }

    /** Ends one fault that equals this one. */
    void endFault(Fault fault) {
        for (int i = 0; i < activeFaults.size(); i++) {
            if (activeFaults.get(i).fault().equals(fault)) {
                activeFaults.remove(i);
                return;
            }
        }
    }

    /** Starts or ends a partition that stops all messages from one region to another. */
    void setPartitioned(String from, String to, boolean isPartitioned) {
        partitioned[places.region(from)][places.region(to)] = isPartitioned;
    }

    /** Whether no partition stops messages from one member to another. */
    boolean isReachable(int from, int to) {
        if (!places.isNone() && partitioned[places.region(from)][places.region(to)]) {
            return false;
        }
        return activeFaults.stream().noneMatch(each -> each.blocks(from, to));
    }

    /**
     * Draws how long each copy of a message takes, in milliseconds; empty where it is lost.
     *
     * @param reliable over a connection, on which losses become delays, and which needs the way
     *     back too
     */
    double[] deliveryDelaysMs(int from, int to, boolean reliable) {
        if (!isReachable(from, to) || (reliable && !isReachable(to, from))) {
            return new double[0];
        }
        Conditions conditions = conditions();
        return reliable
                ? connectionDelaysMs(from, to, conditions)
                : datagramDelaysMs(from, to, conditions);
    }

    private Conditions conditions() {
        double lossRate = loss;
        double duplicationRate = 0;
        double extraDelayMs = 0;
        for (ActiveFault each : activeFaults) {
            Fault fault = each.fault();
            switch (fault.kind()) {
                case LOSS -> {
                    lossRate = 1 - (1 - lossRate) * (1 - fault.value());
                }
                case DUPLICATION -> {
                    duplicationRate = Math.max(duplicationRate, fault.value());
                }
                case DELAY -> {
                    extraDelayMs += fault.value();
                }
                default -> {}
            }
        }
        return new Conditions(lossRate, duplicationRate, extraDelayMs);
    }

    /** A handshake, then the message; a trip that loses its packet is repeated after a time-out. */
    private double[] connectionDelaysMs(int from, int to, Conditions conditions) {
        double lossRate = conditions.lossRate();
        double delayMs = oneWayDelayMs(from, to, conditions.extraDelayMs()) * (1 + HANDSHAKE_TRIPS);
        for (int trip = 0; trip <= HANDSHAKE_TRIPS && lossRate > 0; trip++) {
            double timeoutMs = trip < HANDSHAKE_TRIPS ? HANDSHAKE_RETRANSMIT_MS : RETRANSMIT_MS;
            int retransmits = 0;
            while (retransmits < MAX_RETRANSMITS && random.nextDouble() < lossRate) {
                delayMs += timeoutMs;
                timeoutMs *= 2;
                retransmits++;
            }
            if (retransmits == MAX_RETRANSMITS) {
                return new double[0];
            }
        }
        return new double[] {delayMs};
    }

    private double[] datagramDelaysMs(int from, int to, Conditions conditions) {
        if (random.nextDouble() < conditions.lossRate()) {
            return new double[0];
        }
        double duplicationRate = conditions.duplicationRate();
        boolean isDuplicated = duplicationRate > 0 && random.nextDouble() < duplicationRate;
        double[] delaysMs = new double[isDuplicated ? 2 : 1];
        for (int copy = 0; copy < delaysMs.length; copy++) {
            delaysMs[copy] = oneWayDelayMs(from, to, conditions.extraDelayMs());
        }
        return delaysMs;
    }

    private double oneWayDelayMs(int from, int to, double extraDelayMs) {
        if (places.isNone()) {
            return MIN_DELAY_MS + random.nextDouble() * (DELAY_SPREAD_MS + extraDelayMs);
        }
        double baseMs = places.ms(from, to);
        return baseMs + random.nextDouble() * (baseMs * JITTER_FRACTION + extraDelayMs);
    }
}
