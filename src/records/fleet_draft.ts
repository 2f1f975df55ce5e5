/** A mutable copy of a fleet: each table is copied on its first write. */

import { Fleet } from "./fleet.ts";
import type { FleetMaps, FleetTables, TableName } from "./fleet_tables.ts";

/** Collects the changes of the records that are applied to a fleet. */
export class FleetDraft {
  /** The offset of the newest applied record. */
  offset: number;
  readonly #tables: FleetMaps;
  readonly #copied = new Set<TableName>();

  private constructor(fleet: Fleet) {
    this.offset = fleet.offset;
    this.#tables = { ...fleet.tables };
  }

  /** Creates a draft of a fleet, which is not changed. */
  static create(fleet: Fleet): FleetDraft {
    return new FleetDraft(fleet);
  }

  get<Name extends TableName>(table: Name, key: string): FleetTables[Name] | undefined {
    return this.#tables[table].get(key);
  }

  getRows<Name extends TableName>(table: Name): ReadonlyMap<string, FleetTables[Name]> {
    return this.#tables[table];
  }

  set<Name extends TableName>(table: Name, key: string, row: FleetTables[Name]): void {
    this.#getWritableTable(table).set(key, row);
  }

  remove(table: TableName, key: string): void {
    this.#getWritableTable(table).delete(key);
  }

  /** Gets the changed fleet. The draft must not be used afterwards, as both share the tables. */
  toFleet(): Fleet {
    return Fleet.create({ offset: this.offset, tables: this.#tables });
  }

  #getWritableTable<Name extends TableName>(table: Name): Map<string, FleetTables[Name]> {
    if (!this.#copied.has(table)) {
      const tables = this.#tables as Record<TableName, ReadonlyMap<string, unknown>>;
      tables[table] = new Map(this.#tables[table]);
      this.#copied.add(table);
    }
    return this.#tables[table] as Map<string, FleetTables[Name]>;
  }
}
