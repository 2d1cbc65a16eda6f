import com.fasterxml.jackson.databind.node.ObjectNode;

/** Jobs as the users of the order entry page submit them. */
final class Jobs {
    private Jobs() {}

    /** Returns the body of a submission; {@code order-gateway} is a service, all others are arrays. */
    static ObjectNode submission(String id, String workload, int tasks, double cpus, double memGb) {
        boolean service = workload.equals("order-gateway");
        return Site.JSON
                .createObjectNode()
                .put("nameId", id)
                .put("workload", workload)
                .put("owner", "desk-team-0" + Math.floorMod(id.hashCode(), 10))
                .put("shape", service ? "standing" : "sweep")
                .put("rank", service ? "production" : "standard")
                .put("shards", tasks)
                .put("vcpus", cpus)
                .put("accelerators", 0.0)
                .put("memGb", memGb)
                .put("bundle", "img-0" + Math.floorMod(id.hashCode(), 4))
                .put("pullGb", 0.7)
                .put("together", false)
                .put("spread", service)
                .put("reclaimable", !service)
                .put("expectedS", service ? 0.0 : 18.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotS", 0.0);
    }
}
