package poppynotch.balancer;

/** The settings in force. {@link LoadBalancer} sets them; all others read them at each use. */
final class CurrentSettings {

    private BalancerSettings settings;

    CurrentSettings(BalancerSettings settings) {
        this.settings = settings;
    }

    BalancerSettings get() {
        return settings;
    }

    void set(BalancerSettings changed) {
        settings = changed;
    }
}
