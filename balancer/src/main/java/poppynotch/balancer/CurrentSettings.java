package poppynotch.balancer;

/** Holds the current settings. {@link LoadBalancer} sets them; all others read them at each use. */
final class CurrentSettings {

    private BalancerSettings settings;

    CurrentSettings(BalancerSettings settings) {
        this.settings = settings;
    }

    BalancerSettings get() {
        return settings;
    }

    void set(BalancerSettings newSettings) {
        settings = newSettings;
    }
}
