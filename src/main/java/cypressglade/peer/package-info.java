/**
 * Talk between instances: datagrams for membership and transfers of what was learned, signed and
 * versioned. What is said and what is made of it is decided in {@code member} and {@code learn}.
 */
package cypressglade.peer;
