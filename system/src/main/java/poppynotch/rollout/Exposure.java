package poppynotch.rollout;

import java.util.List;

/** The part of a service's attempts that may go to the version that is being rolled out. */
public sealed interface Exposure {

    /** No attempt goes to the new version. */
    record None() implements Exposure {}

    /**
     * A bounded number of attempts since the rollout began, divided evenly among some edges. The
     * unused part of an edge that ends is lost.
     *
     * @param attempts the number of attempts for all edges together
     * @param edgeIncarnations the edge processes that share the budget. The remainder of the
     *     division goes to the first ones, in this order.
     * @param serverIds the servers that may take the attempts
     */
    record AttemptBudget(long attempts, List<Long> edgeIncarnations, List<String> serverIds)
            implements Exposure {
        public AttemptBudget {
            edgeIncarnations = List.copyOf(edgeIncarnations);
            serverIds = List.copyOf(serverIds);
        }

        /** The number of attempts that an edge may make; 0 if it has no share of the budget. */
        public long attemptsOf(long edgeIncarnation) {
            int index = edgeIncarnations.indexOf(edgeIncarnation);
            if (index < 0) {
                return 0;
            }
            long evenShare = attempts / edgeIncarnations.size();
            return evenShare + (index < attempts % edgeIncarnations.size() ? 1 : 0);
        }
    }

    /**
     * A fraction of the attempts at every edge, for a version that is proven.
     *
     * @param permille the fraction in thousandths, 1 to {@link #ALL_PERMILLE}
     */
    record Share(int permille) implements Exposure {

        /** The share at which all attempts go to the new version. */
        public static final int ALL_PERMILLE = 1000;

        /** Whether all attempts go to the new version. */
        public boolean isAll() {
            return permille >= ALL_PERMILLE;
        }
    }
}
