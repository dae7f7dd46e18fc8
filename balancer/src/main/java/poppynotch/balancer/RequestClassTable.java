package poppynotch.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The request classes of the current settings, with their latency estimates. */
final class RequestClassTable {

    /** By class name, as the index of a class in the settings may change. */
    private final Map<String, ClassLatencyEstimator> latencies = new HashMap<>();

    private double maxValue;
    private boolean anyRepeatable;

    /** Applies the classes of new settings; classes that remain keep their estimates. */
    void useClasses(List<RequestClass> classes) {
        latencies.keySet().retainAll(classes.stream().map(RequestClass::name).toList());
        for (RequestClass each : classes) {
            latencies.computeIfAbsent(each.name(), name -> new ClassLatencyEstimator(each));
        }
        double max = classes.stream().mapToDouble(RequestClass::value).max().orElse(0);
        maxValue = max > 0 ? max : 1;
        anyRepeatable = classes.stream().anyMatch(each -> each.idempotency() != Idempotency.ONCE);
    }

    ClassLatencyEstimator latencyOf(RequestClass requestClass) {
        return latencies.get(requestClass.name());
    }

    /** The highest value of any class, above 0. */
    double maxValue() {
        return maxValue;
    }

    boolean hasRepeatableClass() {
        return anyRepeatable;
    }
}
