package poppynotch.app;

/** Sets the network library's defaults for small machines, before any of it is loaded. */
final class SmallBuffers {

    private SmallBuffers() {}

    static void configure() {
        set("io.netty.allocator.type", "pooled");
        set("io.netty.allocator.numDirectArenas", "1");
        set("io.netty.allocator.numHeapArenas", "1");
        set("io.netty.allocator.pageSize", "8192");
        set("io.netty.allocator.maxOrder", "4");
        set("io.netty.allocator.useCacheForAllThreads", "false");
        set("io.netty.noUnsafe", "false");
        set("io.netty.eventLoopThreads", "1");
        // Without a hardware address the library would look for one and warn.
        set("io.netty.machineId", "00:00:00:00:00:00:00:01");
        set("io.netty.leakDetection.level", "disabled");
        // Its events would load the flight recorder, which takes longer than the rest of the start.
        set("io.netty.jfr.enabled", "false");
    }

    private static void set(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
