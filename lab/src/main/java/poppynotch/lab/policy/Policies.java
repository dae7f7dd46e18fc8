package poppynotch.lab.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.balancer.BalancerActions;
import poppynotch.balancer.BalancerEvents;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.LoadBalancer;
import poppynotch.balancer.Server;

/**
 * The policies that an experiment can name: the sidecar's own decisions, and textbook ones beside
 * them.
 */
public final class Policies {

    /** The sidecar's own decisions. */
    public static final String DECIDE = "decide";

    /** The same with what the fleet shares. */
    public static final String SHARED = "shared";

    private interface Maker {
        BalancerEvents make(BalancerSettings settings, long seed, BalancerActions host);
    }

    private static final Map<String, Maker> ALL = new LinkedHashMap<>();

    static {
        ALL.put(DECIDE, LoadBalancer::new);
        ALL.put(SHARED, LoadBalancer::new);
        ALL.put("random", RandomChoice::new);
        ALL.put("round-robin", RoundRobin::new);
        ALL.put("least-outstanding", LeastOutstanding::new);
        ALL.put("two-choices", TwoChoices::new);
    }

    private Policies() {}

    /** Their names. */
    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    /** A balancer by the policy's name, which must be one of {@link #names}. */
    public static BalancerEvents make(
            String name, BalancerSettings settings, long seed, BalancerActions host) {
        Maker maker = ALL.get(name);
        if (maker == null) {
            throw new IllegalArgumentException(
                    "there is no policy " + name + ": " + String.join(", ", names()));
        }
        return maker.make(settings, seed, host);
    }

    private static final class RandomChoice extends Baseline {
        RandomChoice(BalancerSettings settings, long seed, BalancerActions host) {
            super(settings, seed, host);
        }

        @Override
        Server pick(List<Server> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    }

    private static final class RoundRobin extends Baseline {
        private int turn;

        RoundRobin(BalancerSettings settings, long seed, BalancerActions host) {
            super(settings, seed, host);
            // Balancers that start together must not go round in step.
            turn = random.nextInt(1 << 16);
        }

        @Override
        Server pick(List<Server> candidates) {
            return candidates.get(Math.floorMod(turn++, candidates.size()));
        }
    }

    private static final class LeastOutstanding extends Baseline {
        LeastOutstanding(BalancerSettings settings, long seed, BalancerActions host) {
            super(settings, seed, host);
        }

        @Override
        Server pick(List<Server> candidates) {
            // Among equals the first after a random one, so that the start of the list gets no
            // more.
            int start = random.nextInt(candidates.size());
            Server best = null;
            for (int i = 0; i < candidates.size(); i++) {
                Server each = candidates.get((start + i) % candidates.size());
                best = best == null || inFlight(each) < inFlight(best) ? each : best;
            }
            return best;
        }
    }

    private static final class TwoChoices extends Baseline {
        TwoChoices(BalancerSettings settings, long seed, BalancerActions host) {
            super(settings, seed, host);
        }

        @Override
        Server pick(List<Server> candidates) {
            Server a = candidates.get(random.nextInt(candidates.size()));
            Server b = candidates.get(random.nextInt(candidates.size()));
            return inFlight(b) < inFlight(a) ? b : a;
        }
    }
}
