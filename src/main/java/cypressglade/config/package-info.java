/**
 * Reads the configuration files: the platform's config.json with the settings and the node list,
 * and the files of deploy/ for the parts that are off by default. Each file is taken whole or not
 * at all; an error names the file, the path in it and what is wrong there.
 */
package cypressglade.config;
