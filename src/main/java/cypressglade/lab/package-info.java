/**
 * The project's laboratory. Two kinds of experiments give the same figures: emulations in virtual
 * time, without sockets, at sizes that no machine here holds in real time ({@code MemberNet},
 * {@code MemberLab}; all chance comes from one seed), and fleets of real processes of this program
 * on loopback with faults put between them ({@code ProcessFleet} behind a {@code FaultHub}, driven
 * by a {@code FaultScript}). Nothing here runs in a scheduler that serves.
 */
package cypressglade.lab;
