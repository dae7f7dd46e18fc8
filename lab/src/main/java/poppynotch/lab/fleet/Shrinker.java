package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Makes a plan that fails shorter, as long as it still fails. */
public final class Shrinker {

    /** Shorter than this a fault is none. */
    private static final double SHORTEST_MS = 200;

    private Shrinker() {}

    /**
     * The shortest plan found: without faults, members struck, and time that the failure does not
     * need.
     */
    public static FleetPlan shrink(FleetPlan failing, Predicate<FleetPlan> fails) {
        FleetPlan best = failing;
        boolean shorter = true;
        while (shorter) {
            shorter = false;
            for (FleetPlan next : smaller(best)) {
                if (fails.test(next)) {
                    best = next;
                    shorter = true;
                    break;
                }
            }
        }
        return best;
    }

    private static List<FleetPlan> smaller(FleetPlan plan) {
        List<FleetPlan> all = new ArrayList<>();
        for (int i = 0; i < plan.faults().size(); i++) {
            List<Fault> rest = new ArrayList<>(plan.faults());
            rest.remove(i);
            all.add(plan.with(rest));
        }
        for (int i = 0; i < plan.faults().size(); i++) {
            Fault fault = plan.faults().get(i);
            if (fault.lasts() / 2 >= SHORTEST_MS) {
                all.add(changed(plan, i, fault.lasting(fault.lasts() / 2)));
            }
            for (int m = 0;
                    fault.who().size() > 1
                            && fault.kind() != Fault.Kind.ONE_WAY
                            && m < fault.who().size();
                    m++) {
                List<Integer> fewer = new ArrayList<>(fault.who());
                fewer.remove(m);
                all.add(
                        changed(
                                plan,
                                i,
                                new Fault(
                                        fault.at(),
                                        fault.kind(),
                                        List.copyOf(fewer),
                                        fault.lasts(),
                                        fault.value())));
            }
        }
        return all;
    }

    private static FleetPlan changed(FleetPlan plan, int index, Fault fault) {
        List<Fault> faults = new ArrayList<>(plan.faults());
        faults.set(index, fault);
        return plan.with(faults);
    }
}
