package poppynotch.app;

/**
 * Defaults of Netty's system properties for small machines. They must be set before any class of
 * Netty is loaded. A property set on the command line takes precedence.
 */
final class NettyDefaults {

    private NettyDefaults() {}

    static void configure() {
        setDefault("io.netty.allocator.type", "pooled");
        setDefault("io.netty.allocator.numDirectArenas", "1");
        setDefault("io.netty.allocator.numHeapArenas", "1");
        setDefault("io.netty.allocator.pageSize", "8192");
        setDefault("io.netty.allocator.maxOrder", "4");
        setDefault("io.netty.allocator.useCacheForAllThreads", "false");
        setDefault("io.netty.noUnsafe", "false");
        setDefault("io.netty.eventLoopThreads", "1");
        // Without a machine id Netty searches for a hardware address and warns if there is none.
        setDefault("io.netty.machineId", "00:00:00:00:00:00:00:01");
        setDefault("io.netty.leakDetection.level", "disabled");
        // JFR events load the flight recorder, which takes longer than the rest of the start.
        setDefault("io.netty.jfr.enabled", "false");
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
