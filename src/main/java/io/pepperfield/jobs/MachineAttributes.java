package io.pepperfield.jobs;

/**
 * The properties of a machine that decide which jobs may run on it. They never change while the
 * machine exists.
 *
 * @param type name of the machine type; empty if unknown
 * @param zone the zone; empty if unknown
 * @param spot whether the cloud may reclaim the machine
 */
public record MachineAttributes(String type, String zone, boolean spot) {

    /** The attributes of a machine that neither the cloud nor its worker has described yet. */
    public static final MachineAttributes UNKNOWN = new MachineAttributes("", "", false);

    /** Whether type and zone are known. */
    public boolean known() {
        return !type.isEmpty() && !zone.isEmpty();
    }
}
